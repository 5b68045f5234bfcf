package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// limitCopies holds the servers' limits that the leader knows, on the other control instances. One
// that becomes the leader knows them from the start, also if all gateways start at the same time. One
// that has just started asks the others for their copies first.
type limitCopies struct {
	mu      sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	version protocol.LimitsVersion
	byName  map[string]protocol.ServerLimit // byName is keyed by server.
	open    bool                            // open reports that all that earlier leaders had granted at brittle servers has expired.
}

// limitCopyInterval is the time between two requests for the leader's limits. Most of them are
// answered with the version alone.
const limitCopyInterval = 500 * time.Millisecond

// apply takes the leader's answer.
func (c *limitCopies) apply(reply *protocol.LimitsReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version.Term != reply.Term || c.byName == nil {
		c.byName = map[string]protocol.ServerLimit{}
	}
	c.open = reply.RoomsOpen
	c.version = protocol.LimitsVersion{Term: reply.Term, Change: reply.Change}
	for i := range reply.Limits {
		c.byName[reply.Limits[i].Server] = reply.Limits[i]
		if reply.Limits[i].Limit.IsZero() {
			delete(c.byName, reply.Limits[i].Server)
		}
	}
}

// held returns the version of the copies.
func (c *limitCopies) held() protocol.LimitsVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// complete reports whether this instance has had a copy since it started.
func (c *limitCopies) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName != nil
}

// limits returns the copies.
func (c *limitCopies) limits() (list []protocol.ServerLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, limit := range c.byName {
		list = append(list, limit)
	}
	return list
}

// wasOpen reports whether a copy came from the leader of a term when all that its predecessors had granted at
// brittle servers had expired.
func (c *limitCopies) wasOpen(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open && c.version.Term == term
}

// CopyLimits copies the leader's limits until ctx ends. The peer address is that of this instance.
func (u *Uplink) CopyLimits(ctx context.Context, caller Caller, peer string) error {
	for pause.For(ctx, limitCopyInterval) {
		leader, _ := u.peers()
		if leader == "" {
			continue
		}
		held := u.limitCopies.held()
		m := protocol.LimitsMsg{Term: held.Term, Held: held.Change}
		var reply protocol.LimitsReply
		if leader == peer {
			_ = u.Limits(m, &reply) // It returns no error.
		} else if err := caller.Call(leader, "Uplink.Limits", m, &reply, forwardTimeout); err != nil {
			u.log.Debug().Err(err).Str("leader", leader).Msg("the leader's limits cannot be copied")
			continue
		}
		if reply.Leads {
			u.limitCopies.apply(&reply)
		}
	}
	return nil
}

// LimitCopies returns the copies that this instance has, for one that has become the leader. Leads
// says that it has had one since it started.
func (u *Uplink) LimitCopies(_ protocol.LimitsMsg, reply *protocol.LimitsReply) error {
	reply.Leads, reply.Limits = u.limitCopies.complete(), u.limitCopies.limits()
	reply.Term = u.limitCopies.held().Term
	reply.RoomsOpen = u.limitCopies.wasOpen(reply.Term)
	return nil
}

const (
	// copiesTimeout bounds the request for the copy of another instance.
	copiesTimeout = 80 * time.Millisecond
	// maxCopiesWait bounds the time until a new leader that has just started answers gateways
	// without a copy: it hears of the other instances within that time.
	maxCopiesWait = 250 * time.Millisecond
	// copiesRetryPause is the time between two rounds of requests for copies.
	copiesRetryPause = 10 * time.Millisecond
)

// ledgerOptions returns the options of a new leader's ledger of room at brittle servers. The credit that is
// reserved for new leaders may be granted if no other leader can have granted it within the time that it rests.
func (u *Uplink) ledgerOptions() (opts []backpressure.RoomLedgerOption) {
	if u.term > 0 && u.limitCopies.wasOpen(u.term-1) {
		opts = append(opts, backpressure.WithReservedCredit())
	}
	return opts
}

// inheritLimits gives a new leader the limits that its predecessor knew. An instance that has just
// started asks the others for them, and answers gateways after that. The caller holds u.mu.
func (u *Uplink) inheritLimits() {
	u.permits.Inherit(u.limitCopies.limits(), u.enteredAt)
	r := u.relay.Load()
	if r == nil || u.limitCopies.complete() || u.firstLeader() {
		return
	}
	u.permits.SetIncomplete()
	u.limitsInherited = make(chan struct{})
	go u.fetchLimits(r, u.term, u.limitsInherited)
}

// fetchLimits asks the other control instances for their copies, and closes done. It ends when one
// has answered with a copy, or when no instance is left that may have one.
func (u *Uplink) fetchLimits(r *Relay, term uint64, done chan<- struct{}) {
	defer close(done)
	without := map[string]bool{} // without are the instances that have no copy.
	for end := clock.Now().Add(maxCopiesWait); clock.Now().Before(end); pause.For(context.Background(), copiesRetryPause) {
		asked, outcomes := u.askForCopies(r, term, without)
		if slices.Contains(outcomes, copyTaken) {
			return
		}
		for i, outcome := range outcomes {
			if outcome == copyMissing {
				without[asked[i]] = true
			}
		}
		if u.allWithout(r.peer, without) {
			u.log.Info().Uint64("term", term).Int("instances", len(without)).Msg("no control instance has a copy of the servers' limits")
			return
		}
	}
	u.log.Warn().Uint64("term", term).Msg("no control instance returned the servers' limits of the former leader")
}

// copyOutcome is the outcome of a request for the copy of another instance.
type copyOutcome uint8

const (
	copyUnknown copyOutcome = iota // copyUnknown: no answer; the instance may have a copy.
	copyTaken                      // copyTaken: its copy was taken over.
	copyMissing                    // copyMissing: it has had none since it started, or its process has ended.
)

// askForCopies asks the instances that may have a copy, all at once.
func (u *Uplink) askForCopies(r *Relay, term uint64, without map[string]bool) (asked []string, outcomes []copyOutcome) {
	_, peers := u.peers()
	for _, peer := range slices.Concat(peers, u.voters()) {
		if peer != r.peer && !without[peer] && !slices.Contains(asked, peer) {
			asked = append(asked, peer)
		}
	}
	outcomes = make([]copyOutcome, len(asked))
	var calls sync.WaitGroup
	for i, peer := range asked {
		calls.Go(func() { outcomes[i] = u.fetchLimitsFrom(r.caller, peer, term) })
	}
	calls.Wait()
	return asked, outcomes
}

// allWithout reports whether all other voters are known to have no copy.
func (u *Uplink) allWithout(self string, without map[string]bool) bool {
	voters := u.voters()
	return len(without) > 0 && len(voters) > 0 && !slices.ContainsFunc(voters, func(v string) bool { return v != self && !without[v] })
}

// fetchLimitsFrom takes the copy of one control instance.
func (u *Uplink) fetchLimitsFrom(caller Caller, peer string, term uint64) copyOutcome {
	var reply protocol.LimitsReply
	err := caller.Call(peer, "Uplink.LimitCopies", protocol.LimitsMsg{}, &reply, copiesTimeout)
	if err != nil || !reply.Leads {
		u.log.Debug().Err(err).Str("instance", peer).Msg("a control instance has no copy of the limits")
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED): // Copies are held in memory only.
		return copyMissing
	case err != nil:
		return copyUnknown
	case !reply.Leads:
		return copyMissing
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.term == term {
		u.permits.Inherit(reply.Limits, u.enteredAt)
		if reply.RoomsOpen && reply.Term+1 == term {
			u.permits.ReserveCredits()
		}
	}
	return copyTaken
}

// awaitLimits waits until a new leader knows what its predecessor knew.
func (u *Uplink) awaitLimits() {
	u.mu.Lock()
	inherited := u.limitsInherited
	u.mu.Unlock()
	if inherited != nil {
		<-inherited // It is closed soon after maxCopiesWait at the latest.
	}
}
