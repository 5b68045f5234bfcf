package control

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
)

// UplinkOption configures a new uplink.
type UplinkOption func(*Uplink)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l zerolog.Logger) UplinkOption { return func(u *Uplink) { u.log = l } }

// WithExposure bounds the requests sent to versions on trial; by default they get none.
func WithExposure(e Exposure) UplinkOption { return func(u *Uplink) { u.exposure = e } }

// WithTopology sets the regions of the failure domains; by default all domains are near each other.
func WithTopology(t *topology.Topology) UplinkOption { return func(u *Uplink) { u.topology = t } }

// WithDomains sets the func that maps the peer addresses of control instances to their failure
// domains. Gateways that do not use the leader use a nearby instance.
func WithDomains(domainOf func(peers []string) []string) UplinkOption {
	return func(u *Uplink) { u.domainOf = domainOf }
}

// WithRegistry sets the registry of the metrics; by default nothing is counted.
func WithRegistry(r metrics.Registry) UplinkOption {
	return func(u *Uplink) {
		u.meters, u.registry = newRolloutMeters(r), r
		metrics.NewRegisteredFunctionalGauge("places", r, u.placementsInProgress)
	}
}

// maxUnloggedTime is how long a leader may have been active after its last logged command while
// the gateways were serving: the interval at which the counts are logged, the duty interval,
// and the rest of its lease.
const maxUnloggedTime = usageLogInterval + dutyInterval + 200*time.Millisecond

// WithLogIdleTime sets the func that returns how long before this instance began to lead the
// last command was logged. Quotas then start with what their rates accrued since, less what
// may have been used without being logged. It requires leaders that log usage counts.
func WithLogIdleTime(quiet func() time.Duration) UplinkOption {
	return func(u *Uplink) { u.logIdleTime = func() time.Duration { return quiet() - maxUnloggedTime } }
}

// WithFirstLeader sets the func that reports whether this instance leads and no other led before.
// Without it, the state of an earlier leader is awaited in each term.
func WithFirstLeader(first func() bool) UplinkOption {
	return func(u *Uplink) { u.firstLeader = first }
}

// WithVoters sets the func that returns the peer addresses of the control instances that vote. Without
// it, a new leader that has just started waits for the limits of its predecessor although no other
// instance has them.
func WithVoters(voters func() []string) UplinkOption {
	return func(u *Uplink) { u.voters = voters }
}

// WithGatewayGrace sets how long a gateway without contact to the control role continues to
// serve. By default, usage reports wait only for gateways that were in contact during the
// window.
func WithGatewayGrace(d time.Duration) UplinkOption { return func(u *Uplink) { u.gatewayGrace = d } }
