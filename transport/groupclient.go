package transport

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// ErrNoQuorum is returned when no leader could be reached in time. The command may
// still have been committed; every command can be sent again.
var ErrNoQuorum = eris.New("no quorum of replicas can be reached")

const (
	proposeTimeout = 2 * time.Second        // for one call to one replica
	leaderRetry    = 20 * time.Millisecond  // between the first two rounds of calls to all replicas
	maxLeaderRetry = 200 * time.Millisecond // the longest interval
)

// GroupClient calls the leader of a replication group from any instance.
type GroupClient struct {
	tables   *state.Tables
	links    *Links
	replicas func() []string
	log      zerolog.Logger
	mu       sync.Mutex
	leader   string // leader is the last known leader.
}

// GroupClientOption configures a GroupClient.
type GroupClientOption func(*GroupClient)

// WithGroupLogger sets the logger; the default logs nothing.
func WithGroupLogger(l zerolog.Logger) GroupClientOption {
	return func(c *GroupClient) { c.log = l }
}

// NewGroupClient returns a client that calls the replicas with the given names.
func NewGroupClient(t *state.Tables, l *Links, replicas []string, opts ...GroupClientOption) *GroupClient {
	return newGroupClient(t, l, func() []string { return replicas }, opts)
}

// NewMembersClient returns a client that calls all known members, for a cluster in
// which each of them has a replica.
func NewMembersClient(t *state.Tables, l *Links, opts ...GroupClientOption) *GroupClient {
	members := func() []string {
		var names []string
		for _, row := range t.Members.Rows() {
			if row.State < protocol.MemberDead {
				names = append(names, row.Name)
			}
		}
		return names
	}
	return newGroupClient(t, l, members, opts)
}

func newGroupClient(t *state.Tables, l *Links, replicas func() []string, opts []GroupClientOption) *GroupClient {
	c := &GroupClient{tables: t, links: l, replicas: replicas, log: zerolog.Nop()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call asks the replicas until one executes the call. A replica that does not answer within
// nextPeerDelay stays asked while the others are asked too, since one of them may lead by
// then. Every call is idempotent, so repeating one after an unknown outcome is safe.
func (c *GroupClient) call(ctx context.Context, method string, args any) (GroupReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := &groupCall{
		client:  c,
		method:  method,
		args:    args,
		answers: make(chan replicaAnswer),
		open:    map[string]bool{},
		trace:   callTrace{began: clock.Now()},
	}
	for wait := leaderRetry; ctx.Err() == nil; wait = min(2*wait, maxLeaderRetry) {
		for _, name := range c.leaderFirst() {
			if q.open[name] || ctx.Err() != nil {
				continue
			}
			q.ask(ctx, name)
			if reply, ok := q.await(ctx, name, nextPeerDelay); ok {
				return reply, nil
			}
		}
		// Add jitter, since all clients that wait for an election start waiting
		// together.
		if reply, ok := q.await(ctx, "", wait/2+mrand.N(wait/2)); ok {
			return reply, nil
		}
	}
	return GroupReply{}, c.noQuorum(q)
}

// noQuorum logs the calls that were made in vain and returns ErrNoQuorum.
func (c *GroupClient) noQuorum(q *groupCall) error {
	waiting := slices.Sorted(maps.Keys(q.open))
	c.log.Warn().Str("method", q.method).Dur("after", clock.Since(q.trace.began)).Any("replicas", q.trace.replicas).Strs("unanswered", waiting).Msg("no replica executed the call in time")
	return ErrNoQuorum
}

// leaderFirst returns the replicas, beginning with the last known leader.
func (c *GroupClient) leaderFirst() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.replicas()
	}
	others := slices.DeleteFunc(slices.Clone(c.replicas()), func(n string) bool { return n == c.leader })
	return append([]string{c.leader}, others...)
}

// callReplica calls one replica. It returns an error if the replica did not execute the call,
// or may not have.
func (c *GroupClient) callReplica(ctx context.Context, name, method string, args any) (GroupReply, error) {
	row, ok := c.tables.Members.Get(name)
	if !ok {
		return GroupReply{}, errUnknownReplica
	}
	timeout := proposeTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	var reply GroupReply
	if err := c.links.Call(row.Address, method, args, &reply, timeout); err != nil {
		c.updateLeader("", name)
		return GroupReply{}, err
	}
	if reply.Failed == GroupDiskFull {
		return reply, nil
	}
	if reply.Failed != GroupOK {
		c.updateLeader(reply.Leader, name)
		return GroupReply{}, eris.Errorf("%v; it knows %q as the leader", reply.Failed, reply.Leader)
	}
	c.updateLeader(name, "")
	return reply, nil
}

// errUnknownReplica is returned for a replica that is not a known member.
var errUnknownReplica = eris.New("the replica is not a known member")

// updateLeader records the leader, or that the replica notLeader does not lead.
func (c *GroupClient) updateLeader(name, notLeader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case name != "" && name != notLeader:
		c.leader = name
	case c.leader == notLeader:
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
	if reply.Failed == GroupDiskFull {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusInsufficientStorage, protocol.CodeDiskFull, "the leader's disk is full")
	}
	result := reply.Result.Apply
	if result == nil {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusInternalServerError, protocol.CodeConflict, "the group gave no answer")
	}
	if result.Accepted {
		return protocol.Revision{Number: number, Digest: result.Digest}, nil
	}
	if number > result.Number+1 {
		return protocol.Revision{}, protocol.NewRefusal(http.StatusConflict, protocol.CodeStale, "number %d does not follow %d, which is in force; the next is %d", number, result.Number, result.Number+1)
	}
	return protocol.Revision{}, protocol.NewRefusal(http.StatusConflict, protocol.CodeConflict, "number %d is taken: %d with digest %s is in force", number, result.Number, result.Digest.Short())
}

// Claim requests the right to run a request that must run at most once.
func (c *GroupClient) Claim(ctx context.Context, m protocol.ClaimMsg) (protocol.ClaimReply, error) {
	return c.claim(ctx, protocol.Command{Claim: &m})
}

// Finish records the outcome of a claimed request.
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

// Put proposes an opaque document and returns the number of the accepted one.
func (c *GroupClient) Put(ctx context.Context, number uint64, data []byte) (uint64, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{Put: &protocol.PutDocumentMsg{Number: number, Data: data}})
	switch {
	case err != nil:
		return 0, err
	case reply.Failed == GroupDiskFull, reply.Result.Put == nil:
		return 0, errDiskFull
	}
	return reply.Result.Put.Number, nil
}

// Document returns the accepted opaque document, confirmed by a quorum; number 0
// means that there is none.
func (c *GroupClient) Document(ctx context.Context) (number uint64, data []byte, err error) {
	reply, err := c.call(ctx, "Group.Document", true)
	return reply.Number, reply.Config, err
}

// errDiskFull is returned when the leader's disk is full.
var errDiskFull = eris.New("the leader's disk is full")

// BeginRollout orders a roll-out and reports whether the order was accepted.
func (c *GroupClient) BeginRollout(ctx context.Context, m protocol.BeginRolloutMsg) (protocol.BeginRolloutReply, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{BeginRollout: &m})
	switch {
	case err != nil:
		return protocol.BeginRolloutReply{}, err
	case reply.Failed == GroupDiskFull, reply.Result.BeginRollout == nil:
		return protocol.BeginRolloutReply{}, errDiskFull
	}
	return *reply.Result.BeginRollout, nil
}

// ReleaseQuarantined releases requests or parts of prompts from quarantine.
func (c *GroupClient) ReleaseQuarantined(ctx context.Context, list []protocol.Fingerprint) error {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{Quarantine: &protocol.QuarantineMsg{Free: list}})
	if err == nil && reply.Failed == GroupDiskFull {
		return errDiskFull
	}
	return err
}

// StageRollout advances a roll-out and returns its new state.
func (c *GroupClient) StageRollout(ctx context.Context, m protocol.StageRolloutMsg) (protocol.Rollout, error) {
	reply, err := c.call(ctx, "Group.Propose", protocol.Command{StageRollout: &m})
	switch {
	case err != nil:
		return protocol.Rollout{}, err
	case reply.Failed == GroupDiskFull, reply.Result.StageRollout == nil:
		return protocol.Rollout{}, errDiskFull
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

// newGroupID returns a random ID for a new group.
func newGroupID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on the supported systems.
	}
	return max(1, binary.BigEndian.Uint64(b[:]))
}

// Observe implements Observer: it asks the replicas until the leader answers.
func (c *GroupClient) Observe(ctx context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	var replicas []state.MemberRow
	for _, name := range c.leaderFirst() {
		if row, ok := c.tables.Members.Get(name); ok {
			replicas = append(replicas, row)
		}
	}
	found := firstAnswers(ctx, replicas, 1, func(row state.MemberRow) (protocol.ObserveReply, bool) {
		var reply protocol.ObserveReply
		err := c.links.Call(row.Address, "Quarantine.Observe", m, &reply, observeTimeout)
		return reply, err == nil && reply.Leads
	})
	if len(found) == 0 {
		return protocol.ObserveReply{}, ErrNoQuorum
	}
	return found[0], nil
}
