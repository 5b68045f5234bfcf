package transport

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// ErrNoQuorum is returned when no leader could be reached in time. A command
// may be committed all the same; every command can be sent again.
var ErrNoQuorum = eris.New("no quorum of replicas can be reached")

const (
	proposeTimeout  = 2 * time.Second        // for one call to one replica
	leaderRetry     = 20 * time.Millisecond  // between the first two rounds of the replicas
	leaderRetryMost = 200 * time.Millisecond // the longest such wait
)

// GroupClient calls the leader of a replication group from any instance.
type GroupClient struct {
	tables   *state.Tables
	links    *Links
	replicas func() []string
	mu       sync.Mutex
	leader   string // leader is who led last.
}

// NewGroupClient returns a client that first knows the replicas by name.
func NewGroupClient(t *state.Tables, l *Links, replicas []string) *GroupClient {
	return &GroupClient{tables: t, links: l, replicas: func() []string { return replicas }}
}

// NewMembersClient returns a client that tries all known members: it is for a
// cluster in which each of them keeps a replica.
func NewMembersClient(t *state.Tables, l *Links) *GroupClient {
	return &GroupClient{tables: t, links: l, replicas: func() []string {
		var names []string
		for _, row := range t.Members.Rows() {
			if row.State < protocol.MemberDead {
				names = append(names, row.Name)
			}
		}
		return names
	}}
}

// call tries the replicas until one carries the call out. All calls are such
// that a second one after an unknown outcome does no harm.
func (c *GroupClient) call(ctx context.Context, method string, args any) (GroupReply, error) {
	for wait := leaderRetry; ; wait = min(2*wait, leaderRetryMost) {
		for _, name := range c.order() {
			if ctx.Err() != nil {
				return GroupReply{}, ErrNoQuorum
			}
			if reply, ok := c.try(ctx, name, method, args); ok {
				return reply, nil
			}
		}
		// With jitter, since all that wait for an election begin together.
		timer := time.NewTimer(wait/2 + mrand.N(wait/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return GroupReply{}, ErrNoQuorum
		}
	}
}

// order has the last known leader in front.
func (c *GroupClient) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.replicas()
	}
	rest := slices.DeleteFunc(slices.Clone(c.replicas()), func(n string) bool { return n == c.leader })
	return append([]string{c.leader}, rest...)
}

func (c *GroupClient) try(ctx context.Context, name, method string, args any) (GroupReply, bool) {
	row, ok := c.tables.Members.Get(name)
	if !ok {
		return GroupReply{}, false
	}
	timeout := proposeTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	var reply GroupReply
	if err := c.links.Call(row.Address, method, args, &reply, timeout); err != nil {
		c.led("", name)
		return GroupReply{}, false
	}
	if reply.Failed == GroupFull {
		return reply, true
	}
	if reply.Failed != GroupOK {
		c.led(reply.Leader, name)
		return GroupReply{}, false
	}
	c.led(name, "")
	return reply, true
}

// led notes who leads, or that a replica does not.
func (c *GroupClient) led(name, not string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case name != "" && name != not:
		c.leader = name
	case c.leader == not:
		c.leader = ""
	}
}

// Apply implements [ConfigStore].
func (c *GroupClient) Apply(ctx context.Context, number uint64, canonical []byte) (protocol.Revision, *protocol.Refusal) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{Apply: &protocol.ApplyConfigMsg{Number: number, Config: canonical}})
	if err != nil {
		r := protocol.NewRefusal(http.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v: the configuration may be accepted or not; send the same again", err)
		return protocol.Revision{}, r.WithVerdict(protocol.MayHaveRun).WithRetryAfter(time.Second)
	}
	if reply.Failed == GroupFull {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusInsufficientStorage, protocol.CodeDiskFull, "the leader's disk is full")
	}
	got := reply.Result.Apply
	if got == nil {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusInternalServerError, protocol.CodeConflict, "the group gave no answer")
	}
	if got.Accepted {
		return protocol.Revision{Number: number, Digest: got.Digest}, nil
	}
	if number > got.Number+1 {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusConflict, protocol.CodeStale, "number %d does not follow %d, which is in force; the next is %d", number, got.Number, got.Number+1)
	}
	return protocol.Revision{}, protocol.NewRefusal(http.StatusConflict, protocol.CodeConflict, "number %d is taken: %d with digest %s is in force", number, got.Number, got.Digest.Short())
}

// Claim asks to run a request that must run at most once.
func (c *GroupClient) Claim(ctx context.Context, m protocol.ClaimMsg) (protocol.ClaimReply, error) {
	return c.claim(ctx, protocol.Command{Claim: &m})
}

// Finish records what became of a claimed request.
func (c *GroupClient) Finish(ctx context.Context, m protocol.FinishClaimMsg) error {
	_, err := c.claim(ctx, protocol.Command{Finish: &m})
	return err
}

// Transfer implements [Transferrer].
func (c *GroupClient) Transfer(ctx context.Context, m protocol.TransferClaimMsg) (bool, error) {
	reply, err := c.claim(ctx, protocol.Command{Transfer: &m})
	return err == nil && reply.State == protocol.ClaimGranted, err
}

func (c *GroupClient) claim(ctx context.Context, cmd protocol.Command) (protocol.ClaimReply, error) {
	reply, err := c.call(ctx, "Group.Propose", cmd)
	if err != nil {
		return protocol.ClaimReply{}, err
	}
	if reply.Result.Claim == nil {
		return protocol.ClaimReply{}, eris.New("the group gave no answer")
	}
	return *reply.Result.Claim, nil
}

// Confirm returns the accepted configuration, confirmed by a quorum; number 0
// means that there is none.
func (c *GroupClient) Confirm(ctx context.Context) (number uint64, config []byte, err error) {
	reply, err := c.call(ctx, "Group.Confirm", true)
	return reply.Number, reply.Config, err
}

// Put has an opaque document accepted, and returns the number that holds.
func (c *GroupClient) Put(ctx context.Context, number uint64, data []byte) (uint64, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{Put: &protocol.PutDocumentMsg{Number: number, Data: data}})
	switch {
	case err != nil:
		return 0, err
	case reply.Failed == GroupFull, reply.Result.Put == nil:
		return 0, errNoRoom
	}
	return reply.Result.Put.Number, nil
}

// Document returns the opaque document that holds, confirmed by a quorum; number
// 0 means that there is none.
func (c *GroupClient) Document(ctx context.Context) (number uint64, data []byte, err error) {
	reply, err := c.call(ctx, "Group.Document", true)
	return reply.Number, reply.Config, err
}

// errNoRoom is returned where the leader's disk takes nothing more.
var errNoRoom = eris.New("the leader's disk is full")

// BeginRollout orders a roll-out, and tells whether the order holds.
func (c *GroupClient) BeginRollout(ctx context.Context, m protocol.BeginRolloutMsg) (protocol.BeginRolloutReply, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{BeginRollout: &m})
	switch {
	case err != nil:
		return protocol.BeginRolloutReply{}, err
	case reply.Failed == GroupFull, reply.Result.BeginRollout == nil:
		return protocol.BeginRolloutReply{}, errNoRoom
	}
	return *reply.Result.BeginRollout, nil
}

// StageRollout takes a roll-out further, and returns how it then stands.
func (c *GroupClient) StageRollout(ctx context.Context, m protocol.StageRolloutMsg) (protocol.Rollout, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{StageRollout: &m})
	switch {
	case err != nil:
		return protocol.Rollout{}, err
	case reply.Failed == GroupFull, reply.Result.StageRollout == nil:
		return protocol.Rollout{}, errNoRoom
	}
	return reply.Result.StageRollout.Rollout, nil
}

// Rollouts returns the newest roll-out of each service, confirmed by a quorum.
func (c *GroupClient) Rollouts(ctx context.Context) ([]protocol.Rollout, error) {
	reply, err := c.call(ctx, "Group.Rollouts", true)
	return reply.Rollouts, err
}

// Leader implements [ConfigStore].
func (c *GroupClient) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Remove takes a replica out of the group.
func (c *GroupClient) Remove(ctx context.Context, name string) error {
	_, err := c.call(ctx, "Group.Remove", name)
	return err
}

// randomGroup draws the identity of a new group.
func randomGroup() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on the systems that we run on.
	}
	return max(1, binary.BigEndian.Uint64(b[:]))
}

// Observe implements Observer: it asks the replicas until the one that leads answers.
func (c *GroupClient) Observe(ctx context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	for _, name := range c.order() {
		row, ok := c.tables.Members.Get(name)
		if !ok || ctx.Err() != nil {
			continue
		}
		var reply protocol.ObserveReply
		if err := c.links.Call(row.Address, "Quarantine.Observe", m, &reply, observeTime); err != nil {
			continue // The next one may lead.
		}
		if reply.Leads {
			return reply, nil
		}
	}
	return protocol.ObserveReply{}, ErrNoQuorum
}
