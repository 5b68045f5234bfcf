package protocol

// Features is the set of protocol features that a build supports beyond earlier builds.
// During a rolling update, instances of different builds run side by side, and an
// instance is not sent anything that it does not support. Builds from before this type
// send no features; what they support is inferred from their messages where possible
// ([SyncMsg.SupportsIncarnations]).
type Features uint64

// The protocol features.
const (
	// FeatureIncarnations means that servers are identified by their starts; see
	// [Incarnation].
	FeatureIncarnations Features = 1 << iota
	// FeatureLocalRelays means that, in a deployment with one region, the gateway can
	// use a relay if the leader has more gateways than it can answer at the usual rate.
	FeatureLocalRelays
)

// OwnFeatures are the features of this build.
const OwnFeatures = FeatureIncarnations | FeatureLocalRelays

// Has reports whether f includes all features in some.
func (f Features) Has(some Features) bool { return f&some == some }
