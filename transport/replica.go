package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	sendQueue       = 1024             // messages that wait for one replica
	sendBatch       = 64               // messages in one call
	stepTimeout     = time.Second      // for a call without a snapshot
	snapshotTimeout = 30 * time.Second // for a call with a snapshot
	serveTimeout    = 5 * time.Second  // for a call that another instance waits for
)

// StepArgs carries messages between replicas of one group.
type StepArgs struct {
	Group    uint64
	Messages []replicate.Message
}

// ReplicaSender sends messages to other replicas: a queue and a goroutine for
// each, so that one that does not answer holds up nobody else.
type ReplicaSender struct {
	ctx    context.Context
	tables *state.Tables
	links  *Links
	mu     sync.Mutex
	queues map[string]chan StepArgs
	guess  func(name string) (address string, ok bool)
}

// ReplicaSenderOption changes a new sender.
type ReplicaSenderOption func(*ReplicaSender)

// WithAddresses sets what tells the address of a replica that the membership has
// not met yet; without it, messages to such a one are lost.
func WithAddresses(f func(name string) (address string, ok bool)) ReplicaSenderOption {
	return func(s *ReplicaSender) { s.guess = f }
}

// NewReplicaSender returns a sender that works until ctx ends.
func NewReplicaSender(ctx context.Context, t *state.Tables, l *Links, opts ...ReplicaSenderOption) *ReplicaSender {
	s := &ReplicaSender{ctx: ctx, tables: t, links: l, queues: map[string]chan StepArgs{}}
	s.guess = func(string) (string, bool) { return "", false }
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// address returns where a replica is reached.
func (s *ReplicaSender) address(name string) (string, bool) {
	if row, ok := s.tables.Members.Get(name); ok {
		return row.Address, true
	}
	return s.guess(name)
}

// Send implements group.Sender. A full queue loses the message; the protocol
// sends again.
func (s *ReplicaSender) Send(group uint64, m replicate.Message) {
	select {
	case s.queue(m.To.Name) <- StepArgs{Group: group, Messages: []replicate.Message{m}}:
	default:
	}
}

func (s *ReplicaSender) queue(name string) chan StepArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[name]
	if q == nil {
		q = make(chan StepArgs, sendQueue)
		s.queues[name] = q
		go s.run(name, q)
	}
	return q
}

func (s *ReplicaSender) run(name string, q chan StepArgs) {
	p := pipeline{waiting: q, open: make(chan struct{}, openCalls)}
	for {
		select {
		case first := <-q:
			s.callFor(name, gather(first, q), &p)
		case <-s.ctx.Done():
			return
		}
	}
}

// gather joins what else waits for the same replica.
func gather(args StepArgs, q chan StepArgs) StepArgs {
	for len(args.Messages) < sendBatch {
		select {
		case more := <-q:
			args.Messages = append(args.Messages, more.Messages...)
		default:
			return args
		}
	}
	return args
}

// pipelineAfter is how long messages wait for the answer to those before them. Within
// a region the answer comes by then, and what gathers meanwhile goes in one call. Over
// long paths it does not, and a message would wait for up to a whole round trip.
const pipelineAfter = 4 * time.Millisecond

// openCalls is how many calls to one replica may be open: those of a quarter of a second
// at one each pipelineAfter. A replica that answers none of them gets no more.
const openCalls = 64

// pipeline is what waits for, and is under way to, one replica.
type pipeline struct {
	waiting chan StepArgs
	open    chan struct{} // open holds the calls that are not answered yet.
	answers atomic.Bool   // answers says that the latest call to end was answered.
}

// callFor makes a call and waits for its end, or for pipelineAfter where the replica
// answered the call before. One that did not gets one call at a time. All calls to a replica
// use one connection, so they seldom overtake each other; where one does, the replica
// refuses what does not match and is sent it again.
func (s *ReplicaSender) callFor(name string, args StepArgs, p *pipeline) {
	p.open <- struct{}{}
	done := make(chan struct{})
	go func() {
		defer func() {
			<-p.open
			close(done)
		}()
		answered := s.call(name, args)
		p.answers.Store(answered)
		if !answered {
			forget(p.waiting)
		}
	}()
	if !p.answers.Load() {
		<-done
		return
	}
	next := time.NewTimer(pipelineAfter)
	defer next.Stop()
	select {
	case <-done:
	case <-next.C:
	}
}

// forget drops what waits for a replica that was not reached. It is sent again in newer
// messages; when the path is back, rounds of a second ago would hold up those of now,
// and their answers would look like a long path.
func forget(q chan StepArgs) {
	for range len(q) {
		select {
		case <-q:
		default:
			return
		}
	}
}

// call makes a call and reports whether it was answered.
func (s *ReplicaSender) call(name string, args StepArgs) bool {
	address, ok := s.address(name)
	if !ok {
		return false
	}
	timeout := stepTimeout
	for _, m := range args.Messages {
		if m.Kind == replicate.Snapshot {
			timeout = snapshotTimeout
		}
	}
	var done bool
	return s.links.Call(address, "Group.Step", args, &done, timeout) == nil // Lost messages are sent again.
}

// GroupService answers the other instances' calls to this replica.
type GroupService struct {
	ctx   context.Context
	group *group.Group
}

// NewGroupService returns the receiver to register under "Group".
func NewGroupService(ctx context.Context, g *group.Group) *GroupService {
	return &GroupService{ctx: ctx, group: g}
}

// Step takes messages of another replica.
func (s *GroupService) Step(args StepArgs, done *bool) error {
	*done = true
	for _, m := range args.Messages {
		if err := s.group.Step(s.ctx, args.Group, m); err != nil {
			return err
		}
	}
	return nil
}

// GroupReply is the outcome of a call that only the leader can carry out.
type GroupReply struct {
	Result protocol.Result
	Failed GroupFailure
	Leader string // Leader is who leads, as far as this replica knows.
	Number uint64
	Config []byte

	Rollouts []protocol.Rollout
}

// GroupFailure tells why a call was not carried out.
type GroupFailure uint8

// The failures of calls to a group.
const (
	GroupOK        GroupFailure = iota
	GroupNotLeader              // GroupElsewhere means that nothing was done here.
	GroupUnknown                // GroupUnknown means that it may be done or not.
	GroupFull                   // GroupFull means that the leader's disk has no room.
)

func failureOf(err error) GroupFailure {
	switch {
	case err == nil:
		return GroupOK
	case eris.Is(err, group.ErrFull):
		return GroupFull
	case eris.Is(err, replicate.ErrNotLeader), eris.Is(err, group.ErrNoGroup), eris.Is(err, group.ErrDisk), eris.Is(err, replicate.ErrBusy):
		return GroupNotLeader
	}
	return GroupUnknown
}

// Propose has a command committed.
func (s *GroupService) Propose(c protocol.Command, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	result, err := s.group.Propose(ctx, c)
	reply.Result, reply.Failed, reply.Leader = result, failureOf(err), s.group.Status().Leader.Name
	return nil
}

// Confirm returns the accepted configuration, confirmed by a quorum.
func (s *GroupService) Confirm(_ bool, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Confirm(ctx)
	if err == nil {
		reply.Number, reply.Config, err = s.group.Revision(ctx)
	}
	reply.Failed, reply.Leader = failureOf(err), s.group.Status().Leader.Name
	return nil
}

// Remove takes a name out of the group.
func (s *GroupService) Remove(name string, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Remove(ctx, name)
	reply.Failed, reply.Leader = failureOf(err), s.group.Status().Leader.Name
	return nil
}

// ReplicaInfo tells who a replica is.
type ReplicaInfo struct {
	ID    protocol.ReplicaID
	Group uint64
}

// Document returns the opaque document that holds, confirmed by a quorum.
func (s *GroupService) Document(_ bool, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Confirm(ctx)
	if err == nil {
		reply.Number, reply.Config, err = s.group.Document(ctx)
	}
	reply.Failed, reply.Leader = failureOf(err), s.group.Status().Leader.Name
	return nil
}

// Rollouts returns the newest roll-out of each service, confirmed by a quorum.
func (s *GroupService) Rollouts(_ bool, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Confirm(ctx)
	if err == nil {
		reply.Rollouts, err = s.group.Rollouts(ctx)
	}
	reply.Failed, reply.Leader = failureOf(err), s.group.Status().Leader.Name
	return nil
}

// Info tells who this replica is.
func (s *GroupService) Info(_ bool, reply *ReplicaInfo) error {
	reply.ID, reply.Group = s.group.ID(), s.group.Status().Group
	return nil
}

// FoundArgs names a new group and its founders.
type FoundArgs struct {
	Group    uint64
	Founders protocol.ReplicaMembers
}

// Found makes this replica a founder.
func (s *GroupService) Found(args FoundArgs, done *bool) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Bootstrap(ctx, args.Group, args.Founders)
	*done = err == nil
	return err
}

// Join asks this replica, if it leads, to take another one in.
func (s *GroupService) Join(info ReplicaInfo, done *bool) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	*done = true
	return s.group.Join(ctx, info.Group, info.ID)
}
