package protocol

// Features are what a build understands that builds before it did not. Instances of
// different builds run side by side while they are replaced one after the other: what
// one of them does not understand is not sent to it. Builds from before this type send
// none; what they understand shows in their messages, if at all ([SyncMsg.SupportsIncarnations]).
type Features uint64

// The features.
const (
	// FeatureIncarnations is that servers are named by their starts; see [Incarnation].
	FeatureIncarnations Features = 1 << iota
	// FeatureShared is that a gateway asks a relay of the only region where the leader has
	// more gateways than it answers at the usual pace.
	FeatureShared
)

// OwnFeatures are those of this build.
const OwnFeatures = FeatureIncarnations | FeatureShared

// Has reports whether all of some features are among f.
func (f Features) Has(some Features) bool { return f&some == some }
