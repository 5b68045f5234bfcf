// Package control is the control role: the instances with a disk, which keep the
// configuration and what must be decided once for all gateways.
//
// The replicated log makes one of them the leader, for a term. Only the leader
//
//   - answers gateways ([Uplink]): the newest document, the list of servers,
//     parts of the quotas;
//   - reads the platform's list, once for all ([Duties]);
//   - carries out the duties that one instance at a time may carry out. The
//     fencing token of a duty is the term, which no two leaders share. A new
//     leader waits out the former one's lease before its first call, and asks in
//     the instant before each call whether its own still runs.
//
// What the leader holds beside the log is reported again by the gateways within a
// second. Counts of usage are logged besides, as a loss of power takes both.
package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Group is what the role needs of the replication group.
type Group interface {
	// Vouches returns the term if this instance leads and has applied all that
	// was acknowledged.
	Vouches() (term uint64, ok bool)
	// Changed returns a channel that is closed when another instance leads, or when
	// Vouches answers otherwise.
	Changed() <-chan struct{}
	// Propose has a command committed; see group.Group.
	Propose(ctx context.Context, c protocol.Command) (protocol.Result, error)
}

// Source is the platform's API in the product's terms.
type Source interface {
	// List returns all backend servers, and how many calls that took, also where
	// it fails.
	List(ctx context.Context) (list []protocol.Instance, calls int, err error)
	// Report sends the counts of a window. The error is ErrFenced where a higher
	// token was seen; any other may have been carried out.
	Report(ctx context.Context, d Duty, window int64, counts map[string]int64) error
	// Order asks for a number of servers. The error is ErrNoneLeft where there are
	// none, ErrFenced where a higher token was seen.
	Order(ctx context.Context, d Duty, o Order) error
}

// Duty names who acts, and with which fencing token.
type Duty struct {
	Holder string
	Token  uint64
}

// Order is how many servers a service is to have in a failure domain.
type Order struct {
	Service     string
	Domain      string
	Count       int
	Reclaimable bool
}

// DutyConfig are what the role's timers are derived from.
type DutyConfig struct {
	ListRate    float64       // ListRate is how many list calls a second all instances may make; 0 sets no limit.
	Lease       time.Duration // Lease is how long a former holder of the duties may still act.
	UsageWindow time.Duration // UsageWindow is the length of a window of usage reports.
	UsageDue    time.Duration // UsageDue is how long after a window its report is due.
	Usage       bool          // Usage says that usage reports are owed.
	Fleet       bool          // Fleet says that the number of servers is ours to order.
}
