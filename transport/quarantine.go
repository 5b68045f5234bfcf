package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	// observeEvery is between two questions of an entry instance to the leader; it asks at
	// once when it saw a server end. At 360 instances that is 720 small calls a second.
	observeEvery = 500 * time.Millisecond
	// observeTime bounds one question.
	observeTime = 700 * time.Millisecond
	// observeAlone is how old the leader's word may be before an instance goes by what it
	// saw itself.
	observeAlone = 3 * observeEvery
	// judgeEvery is between two decisions of the leader.
	judgeEvery = 100 * time.Millisecond
)

// Observer answers what an entry instance observed: the leader of the group, or the
// instance itself where there is no group.
type Observer interface {
	Observe(ctx context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error)
}

// Quarantine keeps requests under which servers end from the servers of an entry instance.
type Quarantine struct {
	observer Observer
	name     string
	dial     time.Duration
	log      zerolog.Logger
	wake     chan struct{}
	heard    atomic.Pointer[time.Time] // heard is when the leader answered last.

	mu     sync.Mutex // mu guards all below; no other lock is taken under it.
	gate   *quarantine.Filter
	term   uint64
	broken quarantine.BrokenConnections
}

// NewQuarantine returns an instance's quarantine, which holds nothing before Run.
func NewQuarantine(name string, o Observer, dial time.Duration, log zerolog.Logger) *Quarantine {
	now := clock.Now()
	q := &Quarantine{observer: o, name: name, dial: dial, log: log, wake: make(chan struct{}, 1), gate: quarantine.NewFilter(name, now)}
	q.heard.Store(&now)
	return q
}

// Run asks the leader until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.ask(ctx)
		pause.Until(ctx, observeEvery, q.wake)
	}
	return nil
}

// ask tells the leader what it lacks and takes its word.
func (q *Quarantine) ask(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, observeTime)
	defer cancel()
	q.mu.Lock()
	m := protocol.ObserveMsg{Instance: q.name, Term: q.term, Observations: q.gate.Report(q.term, clock.Now())}
	m.Quarantined, m.Watched = q.gate.SyncState()
	q.mu.Unlock()
	asked := clock.Now()
	reply, err := q.observer.Observe(limit, m)
	if err != nil {
		q.log.Debug().Err(err).Msg("no leader was told of servers that ended")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Acknowledged(reply.Term, m.Observations)
	q.gate.ApplyUpdate(reply.Quarantine, reply.Watch, clock.Now())
	q.term = reply.Term
	q.heard.Store(&asked)
	if reply.Quarantine != nil {
		q.log.Info().Uint64("changes", reply.Quarantine.Changes).Int("held", q.gate.Held()).Msg("quarantine")
	}
}

// alone reports whether no leader has answered of late.
func (q *Quarantine) alone() bool { return clock.Since(*q.heard.Load()) > observeAlone }

// sameRequest is what the sends of a request have in common.
func sameRequest(r *protocol.Request) *quarantine.Request {
	path := r.Method + " " + r.Path
	if r.Kind != protocol.KindService {
		path = enginePath(r.Kind)
	}
	return &quarantine.Request{Caller: r.Key.Workspace, Host: r.Route, Path: path, Body: r.Body}
}

// check returns whether a request may be sent to a server, and uses up a trial by which it
// may.
func (q *Quarantine) check(r *protocol.Request) quarantine.Decision {
	same := sameRequest(r)
	alone := q.alone()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Check(same.QuickHash(), same.Fingerprint, true, alone, clock.Now())
}

// heldMsg ends an attempt that is not made, as servers ended under its request.
func heldMsg(attemptNumber int, p quarantine.Decision) attempt.FailedMsg {
	r := p.Refusal(time.Now())
	return attempt.FailedMsg{Attempt: attemptNumber, Verdict: r.Verdict, Status: r.Status, Code: r.Code, Reason: r.Message, RetryAfter: r.RetryAfter, Final: true}
}

// endedWell notes that a request was answered by its server.
func (q *Quarantine) endedWell(r *protocol.Request) {
	same := sameRequest(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.RecordSuccess(same.QuickHash(), same.Fingerprint, clock.Now())
}

// broke notes that a server's connection ended under a request, for none of our reasons.
func (q *Quarantine) broke(r *protocol.Request, s *state.Server, sent time.Time, err error) {
	if !tcp.EndedByPeer(err) {
		return
	}
	fingerprint := sameRequest(r).Fingerprint()
	q.mu.Lock()
	first := q.broken.Add(s.ID, fingerprint, sent)
	q.mu.Unlock()
	if first {
		go q.probe(s) // It ends within GatherBroken and the limit of a connect.
	}
}

// probe finds out whether a server whose connections broke has ended: its port refuses.
func (q *Quarantine) probe(s *state.Server) {
	broke := time.Now()
	pause.For(context.Background(), quarantine.BrokenConnectionWindow)
	presence := tcp.Probe(s.Address, q.dial)
	ended := presence == tcp.PresenceEnded
	q.mu.Lock()
	runs, names := q.broken.Take(s.ID, broke)
	if ended {
		q.gate.RecordCrash(s.ID, runs, clock.Now())
	}
	q.mu.Unlock()
	q.log.Warn().Str("server", s.ID).Stringer("presence", presence).Int("runs", len(runs)).Strs("fingerprints", names).Msg("connections of a server broke")
	if ended {
		select {
		case q.wake <- struct{}{}:
		default: // Run has not looked since it was woken up last.
		}
	}
}

// Held returns how many requests are held.
func (q *Quarantine) Held() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Held()
}

// QuarantineGroup is what a replica's quarantine needs of the group.
type QuarantineGroup interface {
	Vouches() (term uint64, ok bool)
	Propose(ctx context.Context, c protocol.Command) (protocol.Result, error)
}

// QuarantineService decides, on the replica that leads, which requests are held. It is
// registered under "Quarantine".
type QuarantineService struct {
	group  QuarantineGroup
	leaves func(server string) bool
	log    zerolog.Logger
	logged atomic.Pointer[protocol.QuarantineLog]

	mu     sync.Mutex // mu guards all below.
	term   uint64
	keeper *quarantine.Coordinator
}

// NewQuarantineService returns the service of a replica. The func leaves tells whether a
// server is known to leave.
func NewQuarantineService(g QuarantineGroup, leaves func(server string) bool, log zerolog.Logger) *QuarantineService {
	s := &QuarantineService{group: g, leaves: leaves, log: log, keeper: quarantine.NewCoordinator()}
	s.logged.Store(&protocol.QuarantineLog{})
	return s
}

// Install takes the quarantine of the log. The replica's loop calls it.
func (s *QuarantineService) Install(l protocol.QuarantineLog) { s.logged.Store(&l) }

// enter makes sure that what is held belongs to a term. It needs s.mu.
func (s *QuarantineService) enter(term uint64) {
	if s.term != term {
		s.term, s.keeper = term, quarantine.NewCoordinator()
	}
}

// Observe answers an entry instance.
func (s *QuarantineService) Observe(m protocol.ObserveMsg, reply *protocol.ObserveReply) error {
	term, ok := s.group.Vouches()
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(term)
	s.keeper.AddObservations(m.Instance, m.Observations, s.leaves, clock.Now())
	reply.Term = term
	reply.Quarantine = s.logged.Load().UpdateSince(m.Quarantined)
	reply.Watch = protocol.NewWatchUpdate(s.keeper.Watched(), m.Watched)
	still, ok := s.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// Run decides while this replica leads, until ctx ends.
func (s *QuarantineService) Run(ctx context.Context) error {
	for pause.For(ctx, judgeEvery) {
		s.decide(ctx)
	}
	return nil
}

// decide has the log take what is to change, if this replica leads. A change that is not
// taken is decided anew.
func (s *QuarantineService) decide(ctx context.Context) {
	term, ok := s.group.Vouches()
	if !ok {
		return
	}
	s.mu.Lock()
	s.enter(term)
	m := s.keeper.Decide(s.logged.Load(), clock.Now(), time.Now())
	s.mu.Unlock()
	if len(m.Hold)+len(m.Try)+len(m.Free) == 0 {
		return
	}
	limit, cancel := context.WithTimeout(ctx, observeTime)
	defer cancel()
	_, err := s.group.Propose(limit, protocol.Command{Quarantine: &m})
	s.log.Warn().Err(err).Int("held", len(m.Hold)).Int("tried", len(m.Try)).Int("freed", len(m.Free)).Msg("quarantine changed")
}

// LocalQuarantine decides for an instance without a group, and keeps the quarantine in its
// memory.
type LocalQuarantine struct {
	leaves func(server string) bool
	mu     sync.Mutex // mu guards all below.
	keeper *quarantine.Coordinator
	log    *state.Machine
}

// NewLocalQuarantine returns one that holds nothing.
func NewLocalQuarantine(leaves func(server string) bool) *LocalQuarantine {
	return &LocalQuarantine{leaves: leaves, keeper: quarantine.NewCoordinator(), log: state.NewMachine()}
}

// Observe implements Observer.
func (l *LocalQuarantine) Observe(_ context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	l.keeper.AddObservations(m.Instance, m.Observations, l.leaves, now)
	logged := l.log.QuarantineLog()
	change := l.keeper.Decide(&logged, now, time.Now())
	if len(change.Hold)+len(change.Try)+len(change.Free) > 0 {
		l.log.Apply(&protocol.Command{At: protocol.Millis(time.Now()), Quarantine: &change})
		logged = l.log.QuarantineLog()
	}
	return protocol.ObserveReply{Leads: true, Term: 1, Quarantine: logged.UpdateSince(m.Quarantined), Watch: protocol.NewWatchUpdate(l.keeper.Watched(), m.Watched)}, nil
}
