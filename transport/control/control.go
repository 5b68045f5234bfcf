// Package control implements the control role: the instances that have a disk, store the
// configuration and make the decisions that must be made once for all gateways.
//
// The replicated log makes one of them the leader for a term. Only the leader
//
//   - answers gateways ([Uplink]): the newest document, the list of servers,
//     shares of the quotas;
//   - reads the platform's list, once for all ([Duties]);
//   - carries out the duties that only one instance at a time may carry out. The
//     fencing token of a duty is the term, which no two leaders share. A new
//     leader waits until the lease of the former one has expired before its first
//     call, and checks immediately before each call that its own is still valid.
//
// State that the leader holds outside the log is reported again by the gateways within a
// second. Usage counts are also logged, since a power failure everywhere would destroy
// both copies.
package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Group is the part of the replication group that the role uses.
type Group interface {
	// Vouches returns the term if this instance leads and has applied all acknowledged
	// commands.
	Vouches() (term uint64, ok bool)
	// Changed returns a channel that is closed when the leader or the result of Vouches
	// changes.
	Changed() <-chan struct{}
	// Propose commits a command; see group.Group.
	Propose(ctx context.Context, c protocol.Command) (protocol.Result, error)
}

// Source is the platform's API in the product's terms.
type Source interface {
	// List returns all backend servers and the number of API calls made, also if it
	// fails.
	List(ctx context.Context) (list []protocol.Instance, calls int, err error)
	// Report sends the usage counts of a window. It returns ErrFenced if the platform
	// has seen a higher token; after any other error the report may have been accepted.
	Report(ctx context.Context, d Duty, window int64, counts map[string]int64) error
	// Order requests a number of servers. It returns ErrNoCapacity if none are
	// available and ErrFenced if the platform has seen a higher token.
	Order(ctx context.Context, d Duty, o Order) error
}

// Duty identifies the acting instance and its fencing token.
type Duty struct {
	Holder string
	Token  uint64
}

// Order is the number of servers that a service is to have in a failure domain.
type Order struct {
	Service     string
	Domain      string
	Count       int
	Reclaimable bool
}

// DutyConfig configures the duties and their timing.
type DutyConfig struct {
	ListRate    float64       // ListRate is the number of list calls per second that all instances together may make; 0 means no limit.
	Lease       time.Duration // Lease is how long a former holder of the duties may still act.
	UsageWindow time.Duration // UsageWindow is the length of a window of usage reports.
	UsageDue    time.Duration // UsageDue is how long after the end of a window its report is due.
	Usage       bool          // Usage enables usage reports.
	Fleet       bool          // Fleet enables ordering of servers.
}
