package transport

import (
	"context"
	"strconv"
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
	sendQueueSize   = 1024             // messages queued for one replica
	maxBatch        = 64               // messages per call
	stepTimeout     = time.Second      // for a call without a snapshot
	snapshotTimeout = 30 * time.Second // for a call with a snapshot
	serveTimeout    = 5 * time.Second  // for handling a call from another instance
)

// StepArgs carries messages between replicas of one group.
type StepArgs struct {
	Group    uint64
	Messages []replicate.Message
}

// ReplicaSender sends messages to other replicas. Each replica has its own queue
// and goroutine, so that an unresponsive one does not delay the others.
type ReplicaSender struct {
	ctx             context.Context
	tables          *state.Tables
	links           *Links
	mu              sync.Mutex
	queues          map[string]chan StepArgs
	fallbackAddress func(name string) (address string, ok bool)
}

// ReplicaSenderOption configures a ReplicaSender.
type ReplicaSenderOption func(*ReplicaSender)

// WithAddresses sets the lookup for the address of a replica that the membership
// does not know yet; without it, messages to such a replica are dropped.
func WithAddresses(f func(name string) (address string, ok bool)) ReplicaSenderOption {
	return func(s *ReplicaSender) { s.fallbackAddress = f }
}

// NewReplicaSender returns a sender that runs until ctx ends.
func NewReplicaSender(ctx context.Context, t *state.Tables, l *Links, opts ...ReplicaSenderOption) *ReplicaSender {
	s := &ReplicaSender{ctx: ctx, tables: t, links: l, queues: map[string]chan StepArgs{}}
	s.fallbackAddress = func(string) (string, bool) { return "", false }
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// address returns the address of a replica.
func (s *ReplicaSender) address(name string) (string, bool) {
	if row, ok := s.tables.Members.Get(name); ok {
		return row.Address, true
	}
	return s.fallbackAddress(name)
}

// Send implements group.Sender. If the queue is full, the message is dropped; the
// protocol retransmits it.
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
		q = make(chan StepArgs, sendQueueSize)
		s.queues[name] = q
		go s.run(name, q)
	}
	return q
}

func (s *ReplicaSender) run(name string, q chan StepArgs) {
	p := pipeline{waiting: q, open: make(chan struct{}, maxOpenCalls)}
	for {
		select {
		case first := <-q:
			s.callFor(name, batch(first, q), &p)
		case <-s.ctx.Done():
			return
		}
	}
}

// batch appends the other messages queued for the same replica, up to maxBatch.
func batch(args StepArgs, q chan StepArgs) StepArgs {
	for len(args.Messages) < maxBatch {
		select {
		case more := <-q:
			args.Messages = append(args.Messages, more.Messages...)
		default:
			return args
		}
	}
	return args
}

// pipelineDelay is how long queued messages wait for the answer to the previous
// call. Within a region the answer arrives by then, and the messages queued
// meanwhile go in one call. Between regions it does not, and without this limit a
// message would wait for up to a whole round trip.
const pipelineDelay = 4 * time.Millisecond

// maxOpenCalls limits the open calls to one replica: those of a quarter of a
// second at one per pipelineDelay. A replica that answers none of them gets no
// more.
const maxOpenCalls = 64

// pipeline holds the queued messages and the open calls of one replica.
type pipeline struct {
	waiting chan StepArgs
	open    chan struct{} // open holds a token for each unanswered call.
	answers atomic.Bool   // answers reports whether the last call to end was answered.
}

// callFor makes a call and waits for its end, or only for pipelineDelay if the
// replica answered the previous call. A replica that did not gets one call at a
// time. All calls to a replica use one connection, so reordering is rare; if it
// happens, the replica rejects messages that do not match its log and they are
// sent again.
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
			discardQueued(p.waiting)
		}
	}()
	if !p.answers.Load() {
		<-done
		return
	}
	next := time.NewTimer(pipelineDelay)
	defer next.Stop()
	select {
	case <-done:
	case <-next.C:
	}
}

// discardQueued drops the messages queued for an unreachable replica. They are
// sent again in newer messages; when the path is back, rounds of a second ago
// would delay the current ones, and their answers would look like a long path.
func discardQueued(q chan StepArgs) {
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
	return s.links.Call(address, "Group.Step", args, &done, timeout) == nil // The protocol retransmits lost messages.
}

// GroupService handles group calls from other instances to this replica.
type GroupService struct {
	ctx   context.Context
	group *group.Group
}

// NewGroupService returns the receiver to register under "Group".
func NewGroupService(ctx context.Context, g *group.Group) *GroupService {
	return &GroupService{ctx: ctx, group: g}
}

// Step processes messages from another replica.
func (s *GroupService) Step(args StepArgs, done *bool) error {
	*done = true
	for _, m := range args.Messages {
		if err := s.group.Step(s.ctx, args.Group, m); err != nil {
			return err
		}
	}
	return nil
}

// GroupReply is the reply to a call that only the leader can execute.
type GroupReply struct {
	Result protocol.Result
	Failed GroupFailure
	Leader string // Leader is the leader known to this replica.
	Number uint64
	Config []byte

	Rollouts []protocol.Rollout
}

// GroupFailure is the reason why a call was not executed.
type GroupFailure uint8

// Results of calls to a group.
const (
	GroupOK             GroupFailure = iota
	GroupNotExecuted                 // GroupNotExecuted means that this replica did not execute the call.
	GroupOutcomeUnknown              // GroupOutcomeUnknown means that the call may or may not have been executed.
	GroupDiskFull                    // GroupDiskFull means that the leader's disk is full.
)

// String describes the failure.
func (f GroupFailure) String() string {
	switch f {
	case GroupOK:
		return "executed"
	case GroupNotExecuted:
		return "not executed"
	case GroupOutcomeUnknown:
		return "outcome not known"
	case GroupDiskFull:
		return "disk full"
	}
	return "unknown failure " + strconv.Itoa(int(f))
}

func groupFailure(err error) GroupFailure {
	switch {
	case err == nil:
		return GroupOK
	case eris.Is(err, group.ErrFull):
		return GroupDiskFull
	case eris.Is(err, replicate.ErrNotLeader), eris.Is(err, group.ErrNoGroup), eris.Is(err, group.ErrDisk), eris.Is(err, replicate.ErrBusy):
		return GroupNotExecuted
	}
	return GroupOutcomeUnknown
}

// Propose proposes a command and waits until it is committed.
func (s *GroupService) Propose(c protocol.Command, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	result, err := s.group.Propose(ctx, c)
	reply.Result, reply.Failed, reply.Leader = result, groupFailure(err), s.group.Status().Leader.Name
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
	reply.Failed, reply.Leader = groupFailure(err), s.group.Status().Leader.Name
	return nil
}

// Remove removes the replica with the given name from the group.
func (s *GroupService) Remove(name string, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Remove(ctx, name)
	reply.Failed, reply.Leader = groupFailure(err), s.group.Status().Leader.Name
	return nil
}

// ReplicaInfo identifies a replica and its group.
type ReplicaInfo struct {
	ID    protocol.ReplicaID
	Group uint64
}

// Document returns the accepted opaque document, confirmed by a quorum.
func (s *GroupService) Document(_ bool, reply *GroupReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := s.group.Confirm(ctx)
	if err == nil {
		reply.Number, reply.Config, err = s.group.Document(ctx)
	}
	reply.Failed, reply.Leader = groupFailure(err), s.group.Status().Leader.Name
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
	reply.Failed, reply.Leader = groupFailure(err), s.group.Status().Leader.Name
	return nil
}

// Info returns the identity of this replica.
func (s *GroupService) Info(_ bool, reply *ReplicaInfo) error {
	reply.ID, reply.Group = s.group.ID(), s.group.Status().Group
	return nil
}

// FoundArgs identifies a new group and its founders.
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

// Join adds another replica to the group if this replica leads.
func (s *GroupService) Join(info ReplicaInfo, done *bool) error {
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	*done = true
	return s.group.Join(ctx, info.Group, info.ID)
}
