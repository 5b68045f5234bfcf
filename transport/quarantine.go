package transport

import (
	"context"
	"errors"
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
	"github.com/weldstream/weldstream/transport/backend"
)

const (
	// observeInterval is the time between two reports of an entry instance to the
	// leader; a server crash is reported immediately. At 360 instances that is 720
	// small calls a second.
	observeInterval = 500 * time.Millisecond
	// observeTimeout limits one call.
	observeTimeout = 700 * time.Millisecond
	// leaderReplyMaxAge is the age of the leader's last reply from which an
	// instance decides by its own observations.
	leaderReplyMaxAge = 3 * observeInterval
	// decideInterval is the time between two decisions of the leader.
	decideInterval = 100 * time.Millisecond
)

// Observer evaluates the observations of an entry instance: the leader of the
// group, or the instance itself without a group.
type Observer interface {
	Observe(ctx context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error)
}

// Quarantine prevents an entry instance from sending requests that crash servers.
type Quarantine struct {
	observer  Observer
	name      string
	dial      time.Duration
	log       zerolog.Logger
	wake      chan struct{}
	lastReply atomic.Pointer[time.Time] // lastReply is the send time of the last report that the leader answered.

	mu     sync.Mutex // mu guards the fields below; no other lock is acquired under it.
	filter *quarantine.Filter
	term   uint64
	broken quarantine.BrokenConnections
}

// NewQuarantine returns an instance's quarantine, which holds no requests before
// Run.
func NewQuarantine(name string, o Observer, dial time.Duration, log zerolog.Logger) *Quarantine {
	now := clock.Now()
	q := &Quarantine{observer: o, name: name, dial: dial, log: log, wake: make(chan struct{}, 1), filter: quarantine.NewFilter(name, now)}
	q.lastReply.Store(&now)
	return q
}

// Run reports to the leader until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.report(ctx)
		pause.Until(ctx, observeInterval, q.wake)
	}
	return nil
}

// report sends the leader the observations that it lacks and applies its reply.
func (q *Quarantine) report(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	q.mu.Lock()
	m := protocol.ObserveMsg{Instance: q.name, Term: q.term, Observations: q.filter.Report(q.term, clock.Now())}
	m.Quarantined, m.Watched = q.filter.SyncState()
	q.mu.Unlock()
	sentAt := clock.Now()
	reply, err := q.observer.Observe(limit, m)
	if err != nil {
		q.log.Debug().Err(err).Msg("no leader received the report of server crashes")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.filter.Acknowledged(reply.Term, m.Observations)
	q.filter.ApplyUpdate(reply.Quarantine, reply.Watch, clock.Now())
	q.term = reply.Term
	q.lastReply.Store(&sentAt)
	if reply.Quarantine != nil {
		q.log.Info().Uint64("changes", reply.Quarantine.Changes).Int("held", q.filter.Held()).Msg("quarantine")
	}
}

// leaderUnreachable reports whether no leader has answered within
// leaderReplyMaxAge.
func (q *Quarantine) leaderUnreachable() bool {
	return clock.Since(*q.lastReply.Load()) > leaderReplyMaxAge
}

// quarantineRequest returns what identifies a request across its sends.
func quarantineRequest(r *protocol.Request) *quarantine.Request {
	path := r.Method + " " + r.Path
	if r.Kind != protocol.KindService {
		path = enginePath(r.Kind)
	}
	return &quarantine.Request{Caller: r.Key.Workspace, Host: r.Route, Path: path, Body: r.Body}
}

// check decides whether a request may be sent to a server, and consumes the trial
// that permits it, if any.
func (q *Quarantine) check(r *protocol.Request) quarantine.Decision {
	request := quarantineRequest(r)
	unreachable := q.leaderUnreachable()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.filter.Check(request.QuickHash(), request.Fingerprint, true, unreachable, clock.Now())
}

// heldMsg fails an attempt that is not sent because its request is held.
func heldMsg(attemptNumber int, p quarantine.Decision) attempt.FailedMsg {
	r := p.Refusal(time.Now())
	return attempt.FailedMsg{Attempt: attemptNumber, Verdict: r.Verdict, Status: r.Status, Code: r.Code, Reason: r.Message, RetryAfter: r.RetryAfter, Final: true}
}

// recordSuccess records that a server answered a request.
func (q *Quarantine) recordSuccess(r *protocol.Request) {
	request := quarantineRequest(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.filter.RecordSuccess(request.QuickHash(), request.Fingerprint, clock.Now())
}

// connBroken records that a server's connection ended during a request, unless
// this side closed it or timed out.
func (q *Quarantine) connBroken(r *protocol.Request, s *state.Server, sent time.Time, err error) {
	if errors.Is(err, backend.ErrMalformed) || !tcp.EndedByPeer(err) {
		return
	}
	run := quarantine.BrokenRun{Fingerprint: quarantineRequest(r).Fingerprint(), Sent: sent}
	q.mu.Lock()
	first := q.broken.Add(s.ID, run)
	q.mu.Unlock()
	if first {
		go q.probe(s) // The probe ends within BrokenConnectionWindow and the dial timeout.
	}
}

// probe checks whether a server whose connections broke has crashed: then its port
// refuses connections.
func (q *Quarantine) probe(s *state.Server) {
	brokeAt := time.Now()
	pause.For(context.Background(), quarantine.BrokenConnectionWindow)
	presence := tcp.Probe(s.Address, q.dial)
	ended := presence == tcp.PresenceEnded
	q.mu.Lock()
	runs := q.broken.Take(s.ID)
	if ended {
		q.filter.RecordCrash(s.ID, quarantine.ObservedRuns(runs, brokeAt), clock.Now())
	}
	q.mu.Unlock()
	names, _ := quarantine.Describe(runs)
	q.log.Warn().Str("server", s.ID).Stringer("presence", presence).Int("runs", len(runs)).Strs("fingerprints", names).Msg("connections of a server broke")
	if ended {
		select {
		case q.wake <- struct{}{}:
		default: // A wake-up is already pending.
		}
	}
}

// Held returns the number of held requests.
func (q *Quarantine) Held() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.filter.Held()
}

// QuarantineGroup is the part of the replication group that a replica's quarantine
// needs.
type QuarantineGroup interface {
	Vouches() (term uint64, ok bool)
	Propose(ctx context.Context, c protocol.Command) (protocol.Result, error)
}

// QuarantineService decides on the leading replica which requests are held. It is
// registered under "Quarantine".
type QuarantineService struct {
	group     QuarantineGroup
	isLeaving func(server string) bool
	log       zerolog.Logger
	logged    atomic.Pointer[protocol.QuarantineLog]

	mu          sync.Mutex // mu guards the fields below.
	term        uint64
	coordinator *quarantine.Coordinator
}

// NewQuarantineService returns the service of a replica. The function isLeaving
// reports whether a server is known to be leaving.
func NewQuarantineService(g QuarantineGroup, isLeaving func(server string) bool, log zerolog.Logger) *QuarantineService {
	s := &QuarantineService{group: g, isLeaving: isLeaving, log: log, coordinator: quarantine.NewCoordinator()}
	s.logged.Store(&protocol.QuarantineLog{})
	return s
}

// Install stores the replicated quarantine. The replica's loop calls it.
func (s *QuarantineService) Install(l protocol.QuarantineLog) { s.logged.Store(&l) }

// enterTerm discards the observations of an earlier term. It requires s.mu.
func (s *QuarantineService) enterTerm(term uint64) {
	if s.term != term {
		s.term, s.coordinator = term, quarantine.NewCoordinator()
	}
}

// Observe handles the report of an entry instance.
func (s *QuarantineService) Observe(m protocol.ObserveMsg, reply *protocol.ObserveReply) error {
	term, ok := s.group.Vouches()
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterTerm(term)
	s.coordinator.AddObservations(m.Instance, m.Observations, s.isLeaving, clock.Now())
	reply.Term = term
	reply.Quarantine = s.logged.Load().UpdateSince(m.Quarantined)
	reply.Watch = protocol.NewWatchUpdate(s.coordinator.Watched(), m.Watched)
	currentTerm, ok := s.group.Vouches()
	reply.Leads = ok && currentTerm == term
	return nil
}

// Run decides while this replica leads, until ctx ends.
func (s *QuarantineService) Run(ctx context.Context) error {
	for pause.For(ctx, decideInterval) {
		s.decide(ctx)
	}
	return nil
}

// decide proposes the due changes to the log, if this replica leads. A change that
// is not committed is decided again.
func (s *QuarantineService) decide(ctx context.Context) {
	term, ok := s.group.Vouches()
	if !ok {
		return
	}
	s.mu.Lock()
	s.enterTerm(term)
	m := s.coordinator.Decide(s.logged.Load(), clock.Now(), time.Now())
	s.mu.Unlock()
	if len(m.Hold)+len(m.Try)+len(m.Free) == 0 {
		return
	}
	limit, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	_, err := s.group.Propose(limit, protocol.Command{Quarantine: &m})
	s.log.Warn().Err(err).Int("held", len(m.Hold)).Int("tried", len(m.Try)).Int("freed", len(m.Free)).Msg("quarantine changed")
}

// LocalQuarantine decides for an instance without a group, and keeps the
// quarantine in memory.
type LocalQuarantine struct {
	isLeaving   func(server string) bool
	mu          sync.Mutex // mu guards the fields below.
	coordinator *quarantine.Coordinator
	log         *state.Machine
}

// NewLocalQuarantine returns a local quarantine that holds no requests.
func NewLocalQuarantine(isLeaving func(server string) bool) *LocalQuarantine {
	return &LocalQuarantine{isLeaving: isLeaving, coordinator: quarantine.NewCoordinator(), log: state.NewMachine()}
}

// Observe implements Observer.
func (l *LocalQuarantine) Observe(_ context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	l.coordinator.AddObservations(m.Instance, m.Observations, l.isLeaving, now)
	logged := l.log.QuarantineLog()
	change := l.coordinator.Decide(&logged, now, time.Now())
	if len(change.Hold)+len(change.Try)+len(change.Free) > 0 {
		l.log.Apply(&protocol.Command{At: protocol.Millis(time.Now()), Quarantine: &change})
		logged = l.log.QuarantineLog()
	}
	return protocol.ObserveReply{Leads: true, Term: 1, Quarantine: logged.UpdateSince(m.Quarantined), Watch: protocol.NewWatchUpdate(l.coordinator.Watched(), m.Watched)}, nil
}
