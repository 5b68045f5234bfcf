package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	probeTimeout    = 400 * time.Millisecond
	syncTimeout     = 2 * time.Second
	memberQueueSize = 256
)

// Membership runs [member.State]: one goroutine owns the state, others make the
// calls and post the outcomes.
type Membership struct {
	tables *state.Tables
	links  *Links
	log    zerolog.Logger
	every  time.Duration
	view   *member.State
	msgs   chan member.Msg
	syncs  chan chan protocol.GossipMsg
	leave  chan leaveRequest
	left   bool // left is set after this instance has announced that it left.
	self   func() member.SetSelfMsg
}

// NewMembership returns a membership that is not running. The function self
// returns what the instance publishes about itself.
func NewMembership(t *state.Tables, l *Links, log zerolog.Logger, every time.Duration, view *member.State, self func() member.SetSelfMsg) *Membership {
	return &Membership{
		tables: t,
		links:  l,
		log:    log,
		every:  every,
		view:   view,
		msgs:   make(chan member.Msg, memberQueueSize),
		syncs:  make(chan chan protocol.GossipMsg),
		leave:  make(chan leaveRequest),
		self:   self,
	}
}

// Run runs the membership until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	tick := time.NewTicker(m.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-m.msgs:
			m.apply(ctx, msg)
		case order := <-m.leave:
			m.announceLeft(order)
		case reply := <-m.syncs:
			reply <- m.view.Full()
		case now := <-tick.C:
			m.apply(ctx, m.selfMsg())
			m.apply(ctx, member.TickMsg{Now: now, Rand: rand.Uint64()})
		case <-m.tables.Changed():
			m.apply(ctx, m.selfMsg())
		}
	}
}

func (m *Membership) selfMsg() member.SetSelfMsg {
	msg := m.self()
	msg.Now, msg.Rand = clock.Now(), rand.Uint64()
	msg.Revision, msg.Digest = m.tables.Revision()
	return msg
}

func (m *Membership) apply(ctx context.Context, msg member.Msg) {
	if m.left {
		return
	}
	for _, cmd := range m.view.Update(msg) {
		m.execute(ctx, cmd)
	}
	m.tables.Members.Set(m.view.Rows())
}

// post sends a message to the loop, or gives up when ctx ends.
func (m *Membership) post(ctx context.Context, msg member.Msg) {
	select {
	case m.msgs <- msg:
	case <-ctx.Done():
	}
}

// ServerLeaving announces to the other instances that a backend server accepts no
// new work.
func (m *Membership) ServerLeaving(ctx context.Context, l protocol.Leaving) {
	if l.Seen.IsZero() {
		l.Seen = clock.Now()
	}
	m.tables.Backends.MarkLeaving(l)
	m.post(ctx, member.ServerLeavingMsg{Leaving: l, Rand: rand.Uint64()})
}

// ServerJoined announces to the other instances that the platform's list has a new
// backend server.
func (m *Membership) ServerJoined(ctx context.Context, in protocol.Instance) {
	m.post(ctx, member.ServerJoinedMsg{Joined: protocol.Joined{Instance: in, Seen: clock.Now()}, Rand: rand.Uint64()})
}

// Leave announces to a few members that this instance has left permanently, so
// that none has to detect it. It returns when the calls have ended or ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	done := make(chan struct{})
	msg := m.selfMsg()
	msg.Left = true
	select {
	case m.leave <- leaveRequest{msg: msg, done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// leaveRequest asks the loop to announce that this instance has left.
type leaveRequest struct {
	msg  member.SetSelfMsg
	done chan struct{}
}

// announceLeft pushes the record and waits for the calls.
func (m *Membership) announceLeft(o leaveRequest) {
	defer close(o.done)
	var wg sync.WaitGroup
	for _, cmd := range m.view.Update(o.msg) {
		if push, ok := cmd.(member.PushCmd); ok {
			wg.Go(func() { m.push(push) })
		}
	}
	wg.Wait()
	m.left = true
}

func (m *Membership) execute(ctx context.Context, cmd member.Cmd) {
	switch cmd := cmd.(type) {
	case member.ProbeCmd:
		go m.probe(ctx, cmd)
	case member.PushCmd:
		go m.push(cmd)
	case member.SyncCmd:
		go m.sync(ctx, cmd)
	case member.ServerLeavingCmd:
		m.tables.Backends.MarkLeaving(cmd.Leaving)
	case member.ServerJoinedCmd:
		m.tables.Backends.Join(cmd.Joined, clock.Now())
	case member.FetchConfigCmd:
		go m.fetchConfig(cmd)
	}
}

func (m *Membership) probe(ctx context.Context, cmd member.ProbeCmd) {
	var ok bool
	alive := m.links.Call(cmd.Address, "Member.Ping", cmd.Gossip, &ok, probeTimeout) == nil
	for _, via := range cmd.Via {
		if alive {
			break
		}
		var reply protocol.ProbeReplyMsg
		err := m.links.Call(via, "Member.Probe", protocol.ProbeMsg{Address: cmd.Address}, &reply, 2*probeTimeout)
		alive = err == nil && reply.Alive
	}
	m.post(ctx, member.ProbedMsg{Name: cmd.Name, Alive: alive, Now: clock.Now(), Rand: rand.Uint64()})
}

func (m *Membership) push(cmd member.PushCmd) {
	var ok bool
	if err := m.links.Call(cmd.Address, "Member.Ping", cmd.Gossip, &ok, probeTimeout); err != nil {
		m.log.Debug().Str("address", cmd.Address).Err(err).Msg("push failed")
	}
}

func (m *Membership) sync(ctx context.Context, cmd member.SyncCmd) {
	var reply protocol.GossipMsg
	if err := m.links.Call(cmd.Address, "Member.Sync", cmd.Gossip, &reply, syncTimeout); err != nil {
		m.log.Debug().Str("address", cmd.Address).Err(err).Msg("synchronization failed")
		return
	}
	m.post(ctx, member.GossipMsg{Gossip: reply, Now: clock.Now(), Rand: rand.Uint64()})
}

func (m *Membership) fetchConfig(cmd member.FetchConfigCmd) {
	above, _ := m.tables.Revision()
	var reply protocol.FetchConfigReplyMsg
	if err := m.links.Call(cmd.Address, "Config.Fetch", protocol.FetchConfigMsg{Above: above}, &reply, syncTimeout); err != nil {
		m.log.Warn().Str("address", cmd.Address).Err(err).Msg("fetching the configuration failed")
		return
	}
	if !reply.Found {
		return
	}
	rev, err := state.ParseCanonical(reply.Number, reply.Config)
	if err != nil {
		m.log.Error().Str("address", cmd.Address).Err(err).Msg("parsing the fetched configuration failed")
		return
	}
	if m.tables.Install(rev) {
		m.log.Info().Uint64("number", rev.Number).Str("digest", rev.Digest.Short()).Msg("configuration in force")
	}
}

// MemberService handles membership calls from other instances.
type MemberService struct {
	ctx context.Context
	m   *Membership
}

// NewMemberService returns the receiver to register under "Member".
func NewMemberService(ctx context.Context, m *Membership) *MemberService {
	return &MemberService{ctx: ctx, m: m}
}

// Ping merges gossip; the reply itself shows that the instance is alive.
func (s *MemberService) Ping(gossip protocol.GossipMsg, ok *bool) error {
	*ok = true
	s.m.post(s.ctx, member.GossipMsg{Gossip: gossip, Now: clock.Now(), Rand: rand.Uint64()})
	return nil
}

// Sync merges all records of another instance and returns all records of this one.
func (s *MemberService) Sync(gossip protocol.GossipMsg, reply *protocol.GossipMsg) error {
	s.m.post(s.ctx, member.GossipMsg{Gossip: gossip, Now: clock.Now(), Rand: rand.Uint64()})
	full := make(chan protocol.GossipMsg, 1)
	select {
	case s.m.syncs <- full:
		*reply = <-full
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// Probe pings a third instance on behalf of the caller.
func (s *MemberService) Probe(msg protocol.ProbeMsg, reply *protocol.ProbeReplyMsg) error {
	var ok bool
	reply.Alive = s.m.links.Call(msg.Address, "Member.Ping", protocol.GossipMsg{}, &ok, probeTimeout) == nil
	return nil
}

// ConfigService handles configuration calls from other instances.
type ConfigService struct{ tables *state.Tables }

// NewConfigService returns the receiver to register under "Config".
func NewConfigService(t *state.Tables) *ConfigService { return &ConfigService{tables: t} }

// Fetch returns the configuration in force if its number is greater than
// msg.Above.
func (s *ConfigService) Fetch(msg protocol.FetchConfigMsg, reply *protocol.FetchConfigReplyMsg) error {
	ix := s.tables.Index()
	if ix == nil || ix.Number <= msg.Above {
		return nil
	}
	reply.Found, reply.Number, reply.Config = true, ix.Number, state.Canonical(ix.Config)
	return nil
}
