// Package uplink keeps a gateway in touch with the control role.
//
// A [Client] has one link at a time, to the control instance that leads. A few
// times a second it tells what the gateway counted and asks for what is newer
// than it holds. Only the leader's answers count: it vouches for the newest
// document at a moment after the question was sent, so the time of the question
// is the time up to which the gateway is sure.
//
// It finds the leader by asking the seeds, and any control instance that it
// heard of since, side by side; each tells who leads as soon as it knows.
package uplink

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// Caller calls a method of another instance.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// Gateway is what the client keeps in touch.
type Gateway interface {
	// Report returns what the gateway tells the leader of a term.
	Report(term uint64) protocol.SyncMsg
	// HandleSyncReply notes that the leader has a report, and what it answered of quotas.
	HandleSyncReply(m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time)
	// Document takes a document that is newer than the one in force.
	Document(number uint64, data []byte) error
	// SetRollouts takes the leader's answer on roll-outs to a question that was sent at a
	// time. It is called ahead of SetServers, so that no server of a version on trial is
	// taken for one of the others.
	SetRollouts(reply *protocol.SyncReply, asked time.Time)
	// SetQuarantine takes the leader's word on requests that are kept from servers. It is
	// called ahead of Confirm, so that no gateway is ready without it.
	SetQuarantine(reply *protocol.SyncReply)
	// SetServers takes the list of backend servers.
	SetServers(list []protocol.Instance)
	// ListLate notes that the leader could not read the list for a while. It is called with
	// each answer until it could.
	ListLate()
	// SetLanes takes the terms by which all gateways part long prompts from short ones.
	SetLanes(lanes []protocol.ServiceLanes)
	// SetLoads takes how many requests the listed servers have from all gateways, in
	// the order of their names, and which of them to pass over, a bit each.
	SetLoads(loads, distrusted []byte)
	// Overdue notes that the leader's answer is overdue, or that no leader is known. It
	// is called again and again until one answers.
	Overdue()
	// Confirm notes that the document in force was the newest at a time.
	Confirm(at time.Time, gateways int)
}

const (
	// every is the usual time between two questions, at the least; it grows with
	// the number of gateways, so that the leader's load is bounded.
	every       = link.AskEvery
	everyMember = link.AnswerEach
	// callTime bounds a question to an instance that may be gone, and firstTime one
	// whose answer holds a whole list, for many gateways at once.
	callTime  = 700 * time.Millisecond
	firstTime = 1500 * time.Millisecond
	// answerDue is how long the leader's answer may take before the others are asked
	// who leads: many round trips of a region, and less than an election takes. A
	// leader that lost its power sends no reset, and waiting for callTime instead left
	// 295 gateways without quotas for 0.6 to 0.9 s after its successor stood.
	//
	// Where domains lie in several regions, it is how much longer an answer may take than
	// the instance's answers took of late; see [link.AnswerTime].
	answerDue = 100 * time.Millisecond
	// firstDue is what the first answer of an instance may take besides, where there are
	// several regions: with answerDue it is the two round trips, at 80 ms one way, that an
	// answer through a relay may take.
	firstDue = 220 * time.Millisecond
	// searchPause is between two rounds of questions while no leader is known, for
	// those that could not be reached.
	searchPause = 30 * time.Millisecond
	// leaderTime bounds a question for the leader: an instance that knows none keeps
	// it for a while.
	leaderTime = time.Second
	// silentFor is how long a leader that did not answer is not taken for one
	// because another instance names it: by then a group that can has elected another. Its
	// own word counts at once.
	silentFor = time.Second
	// leastPause is the least time between two questions.
	leastPause = 15 * time.Millisecond
	// mostDoublings keeps a doubled leastPause from running over; every is reached before.
	mostDoublings = 10
)

// Client is a gateway's link to the control role.
type Client struct {
	caller   Caller
	gateway  Gateway
	limiter  Limiter        // limiter is nil where no limits of servers are kept.
	quotas   QuotaRequester // quotas is nil where parts of quotas are asked for with the other questions.
	unpack   func([]byte) (protocol.ServerList, error)
	topology *topology.Topology
	log      zerolog.Logger
	life     uint64
	syncNow  chan struct{}

	quotaNow     chan struct{}
	quotaApart   atomic.Bool  // quotaApart says that parts of quotas are asked for apart.
	noQuotaCall  atomic.Value // noQuotaCall is the address of the latest leader whose build grants none apart.
	limitsNow    chan struct{}
	limitsBehind atomic.Bool  // limitsBehind says that the leader has limits that the gateway lacks.
	members      atomic.Int64 // members are how many gateways there are.

	mu         sync.Mutex // mu guards all up to the loop's own.
	seeds      []string
	leader     string          // leader is the target while it leads, for calls beside the loop.
	leaderAddr string          // leaderAddr is the leader itself, also where the target is a relay.
	asking     map[string]bool // asking are the instances that a question for the leader is under way to.
	controls   []string
	links      *link.Selector // links choose an instance of the own region; nil where only the leader is asked.
	found      chan named     // found receives whom they name.

	// The own of the loop on limits.
	passed     map[string]protocol.SharedLimitsVersion // passed are the marks of what control instances passed on, by address.
	passedTurn int

	// The main loop's own.
	target      string
	silent      string    // silent is a leader that did not answer.
	silentAt    time.Time // silentAt is when.
	term        uint64
	lister      uint64
	version     uint64
	servers     []protocol.Instance  // servers are the list as it was received last.
	loads       []byte               // loads are those of the listed servers, as they were received last.
	mark        protocol.LoadVersion // mark names them.
	gateways    int
	linked      string                      // linked is the instance that answered last; empty once it is lost.
	named       string                      // named is the leader's address as an answer named it last; it may be a relay's word.
	answerTimes map[string]*link.AnswerTime // answerTimes are by instance.
}

// Option changes a new client.
type Option func(*Client)

// WithRegions has the client of a gateway in a failure domain ask a control instance of
// its own region, where there are several regions or many gateways.
func WithRegions(t *topology.Topology, domain, gateway string) Option {
	return func(c *Client) {
		c.topology = t
		c.links = link.New(t, domain, gateway)
	}
}

// New returns a client that is not running. The seeds are peer addresses; unpack
// reads a whole list.
func New(calls Caller, g Gateway, seeds []string, unpack func([]byte) (protocol.ServerList, error), log zerolog.Logger, opts ...Option) *Client {
	c := &Client{
		caller:      calls,
		gateway:     g,
		unpack:      unpack,
		log:         log,
		life:        rand.Uint64(),
		syncNow:     make(chan struct{}, 1),
		quotaNow:    make(chan struct{}, 1),
		limitsNow:   make(chan struct{}, 1),
		seeds:       seeds,
		asking:      map[string]bool{},
		found:       make(chan named, 1),
		answerTimes: map[string]*link.AnswerTime{},
		passed:      map[string]protocol.SharedLimitsVersion{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetSeeds takes other seeds, for the next search.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SyncNow has the leader asked at once.
func (c *Client) SyncNow() {
	select {
	case c.syncNow <- struct{}{}:
	default:
	}
}

// Run asks until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for failed := 0; ctx.Err() == nil; {
		began := clock.Now()
		if c.step(ctx) {
			failed = 0
			c.wait(ctx, began, c.askEvery())
			continue
		}
		c.wait(ctx, began, c.failedPause(failed))
		failed++
	}
	return nil
}

// step asks the leader, or looks for one, and reports whether the leader answered.
func (c *Client) step(ctx context.Context) bool {
	if near := c.near(); near != "" {
		c.target = near
	}
	if c.target == "" {
		c.gateway.Overdue()
		c.target = c.search(ctx)
		if near := c.near(); near != "" {
			c.target = near
		}
	}
	return c.target != "" && c.ask(ctx, c.target)
}

// wait lets a time pass since the last question, or less if SyncNow was called.
func (c *Client) wait(ctx context.Context, began time.Time, most time.Duration) {
	if left := leastPause - clock.Since(began); left > 0 {
		pause.For(ctx, left)
	}
	pause.Until(ctx, most-clock.Since(began), c.syncNow)
}

// ask asks the instance that is taken for the leader, and reports whether it is.
func (c *Client) ask(ctx context.Context, address string) bool {
	m := c.gateway.Report(c.term)
	m.Life, m.Lister, m.Servers, m.Gateways = c.life, c.lister, c.version, c.gateways
	m.Loads, m.Relayed = c.mark, c.nears()
	m.Features = protocol.OwnFeatures
	asked := clock.Now()
	got := c.await(ctx, address, c.sync(address, m))
	if got.err != nil {
		c.silent, c.silentAt = address, clock.Now()
		c.lost(address, got.err.Error())
		c.answerTime(address).Miss(firstDue)
		c.failed(address, true)
		c.overdueNear()
		c.target = got.other
		return false
	}
	c.learn(got.reply.Controls, got.reply.Domains)
	c.named = got.reply.Leader
	if !got.reply.Leads && got.reply.Gateways > 0 {
		return c.shareOut(address, got.reply.Gateways)
	}
	if !got.reply.Leads {
		c.lost(address, "does not lead")
		c.failed(address, false)
		c.overdueNear()
		if got.reply.Leader != address {
			c.target = got.reply.Leader
		}
		return false
	}
	c.observe(address, clock.Since(asked))
	return c.take(address, &m, &got.reply, asked)
}

// answer is what came of a question to the leader.
type answer struct {
	reply protocol.SyncReply
	err   error
	other string // other is another leader that was found meanwhile; err is set then.
}

// named is a leader that an instance named. One that names itself leads now, also where it
// fell silent a moment ago: it has come back.
type named struct {
	leader   string
	byItself bool
}

// errNoLeader is returned where no control instance is known to lead.
var errNoLeader = eris.New("no leader is known")

// ErrReplyOverdue is the reason why a leader is given up whose answer is overdue while
// another one leads.
var ErrReplyOverdue = eris.New("its answer is overdue, and another instance leads")

// sync sends a question to the leader, whose answer is received from the channel.
func (c *Client) sync(address string, m protocol.SyncMsg) <-chan answer {
	limit := callTime
	if c.lister == 0 {
		limit = firstTime
	}
	answers := make(chan answer, 1)
	go func() {
		var a answer
		a.err = c.caller.Call(address, "Uplink.Sync", m, &a.reply, limit)
		answers <- a
	}()
	return answers
}

// await waits for the leader's answer. While it is overdue the other control
// instances are asked who leads, and the first other leader ends the wait.
func (c *Client) await(ctx context.Context, address string, answers <-chan answer) answer {
	var found <-chan named // found is nil until the answer is overdue.
	due := time.NewTimer(c.due(address))
	defer due.Stop()
	for {
		select {
		case a := <-answers:
			return a
		case <-due.C:
			if found == nil {
				c.overdue()
				found = c.found
			}
			c.gateway.Overdue()
			c.askWho(protocol.LeaderMsg{Besides: address}, address)
			due.Reset(searchPause)
		case n := <-found:
			if n.leader != address {
				return answer{err: ErrReplyOverdue, other: n.leader}
			}
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		}
	}
}

// overdue has no question for a place wait for a leader that may be gone, and forgets
// whom others named before.
func (c *Client) overdue() {
	c.lead("", "")
	select {
	case <-c.found:
	default:
	}
}

// take puts a leader's answer in force.
func (c *Client) take(address string, m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time) bool {
	if len(reply.Document) > 0 {
		if err := c.gateway.Document(reply.Number, reply.Document); err != nil {
			c.log.Error().Err(err).Uint64("number", reply.Number).Msg("an accepted document cannot be read")
			return false
		}
	}
	c.gateway.SetRollouts(reply, asked)
	c.gateway.SetQuarantine(reply)
	if reply.Listed {
		list, err := c.list(reply)
		if err != nil {
			c.log.Error().Err(err).Msg("the list cannot be read")
			return false
		}
		c.gateway.SetServers(list)
		c.lister, c.version = reply.Lister, reply.Version
	}
	if reply.ListLate {
		c.gateway.ListLate()
	}
	c.gateway.Confirm(asked, reply.Gateways)
	c.gateway.HandleSyncReply(m, reply, asked)
	c.gateway.SetLanes(reply.Lanes)
	if err := c.share(reply); err != nil {
		c.log.Error().Err(err).Str("from", address).Msg("the servers' loads cannot be read")
	}
	c.logLink(address, reply)
	c.linked, c.target, c.term = address, address, reply.Term
	c.setGateways(reply.Gateways)
	c.lead(address, cmp.Or(reply.Leader, address))
	c.askApart(c.mayApart(cmp.Or(reply.Leader, address)))
	c.members.Store(int64(reply.Gateways))
	c.noteLimits(reply)
	return true
}

// logLink logs whom the gateway is linked to, where that changes.
func (c *Client) logLink(address string, reply *protocol.SyncReply) {
	if c.linked == address && c.term == reply.Term {
		return
	}
	if reply.Leader != "" && reply.Leader != address {
		c.log.Info().Str("relay", address).Str("leader", reply.Leader).Uint64("term", reply.Term).Uint64("number", reply.Number).Int("gateways", reply.Gateways).Msg("linked to a relay")
		return
	}
	c.log.Info().Str("leader", address).Uint64("term", reply.Term).Uint64("number", reply.Number).Int("gateways", reply.Gateways).Msg("linked to the leader")
}

// share hands the loads of all servers on to the gateway, if the answer has those of the
// list that is held. Where they cannot be read, all are asked for next.
func (c *Client) share(reply *protocol.SyncReply) error {
	if reply.Listed || (len(reply.Loads) == 0 && reply.Loaded.Version == 0) {
		return nil
	}
	loads, err := place.UpdateLoads(c.loads, c.mark, reply.Loads, reply.LoadChanges, reply.Loaded)
	if err != nil {
		c.loads, c.mark = nil, protocol.LoadVersion{}
		return err
	}
	c.loads, c.mark = loads, reply.Loaded
	if len(loads) > 0 {
		c.gateway.SetLoads(loads, reply.Distrusted)
	}
	return nil
}

// list returns the whole list behind an answer with all of it or with what changed.
func (c *Client) list(reply *protocol.SyncReply) ([]protocol.Instance, error) {
	told, err := c.unpack(reply.List)
	if err != nil {
		return nil, err
	}
	c.servers = told.ApplyTo(c.servers)
	return c.servers, nil
}

// lost forgets the instance, the leader or a relay, that did not answer as it should.
func (c *Client) lost(address, reason string) {
	if c.linked != "" {
		c.log.Warn().Str("instance", address).Str("reason", reason).Msg("link to the control role lost")
	}
	c.linked, c.target = "", ""
	c.lead("", "")
}

// lead notes the instance that answers for the leader, and the leader itself.
func (c *Client) lead(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.leaderAddr = address, leader
}

// learn notes the control instances that another one knows.
func (c *Client) learn(controls, domains []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.SetControls(controls, domains)
	if len(controls) > 0 {
		c.controls = controls
	}
}
