// Package uplink is a gateway's client of the control role.
//
// A [Client] has one link at a time, to the leading control instance or to a relay that
// answers for it. A few times a second it reports the gateway's counters and fetches newer
// state. Only answers given for the leader are accepted: the leader confirms the newest
// document at a moment after the request was sent, so the gateway's state is known to be
// current up to the time of the request.
//
// To find the leader, the client queries the seeds and all control instances learned since
// in parallel. Each replies as soon as it knows the leader.
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

// Gateway is the gateway that the client synchronizes with the control role.
type Gateway interface {
	// Report returns the report for the leader of the given term.
	Report(term uint64) protocol.SyncMsg
	// HandleSyncReply records that the leader received the report m, which was sent at the time
	// asked, and applies the quota grants of its reply.
	HandleSyncReply(m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time)
	// Document installs a document that is newer than the current one.
	Document(number uint64, data []byte) error
	// SetRollouts sets the state of roll-outs from a reply to a request sent at the time asked.
	// It is called before SetServers, so that no server of a version on trial is treated as a
	// regular one.
	SetRollouts(reply *protocol.SyncReply, asked time.Time)
	// SetQuarantine sets which requests are withheld from servers. It is called before Confirm,
	// so that no gateway becomes ready without this state.
	SetQuarantine(reply *protocol.SyncReply)
	// SetServers sets the list of backend servers.
	SetServers(list []protocol.Instance)
	// ListLate reports that the leader has been unable to read the server list for a while. It
	// is called for each such answer until the list is read again.
	ListLate()
	// SetLanes sets the parameters by which all gateways separate long prompts from short ones.
	SetLanes(lanes []protocol.ServiceLanes)
	// SetLoads sets the number of requests that each listed server has from all gateways, in the
	// order of the servers' names, and a bit set of the servers to skip.
	SetLoads(loads, distrusted []byte)
	// Overdue reports that the leader's answer is overdue or that no leader is known. It is
	// called repeatedly until a leader answers.
	Overdue()
	// Confirm reports that the current document was the newest one at the given time.
	Confirm(at time.Time, gateways int)
}

const (
	// minSyncInterval is the minimum normal time between two sync requests. The interval
	// grows by intervalPerGateway with the number of gateways, to bound the leader's load.
	minSyncInterval    = link.MinAskInterval
	intervalPerGateway = link.IntervalPerGateway
	// syncTimeout bounds a sync request to an instance that may be down. firstSyncTimeout
	// bounds one whose answer carries the whole list, possibly to many gateways at once.
	syncTimeout      = 700 * time.Millisecond
	firstSyncTimeout = 1500 * time.Millisecond
	// overdueTimeout is how long the leader's answer may take before the other instances are
	// asked for the leader: many round trips within a region, but less than an election. A
	// leader that lost power sends no reset, and waiting for syncTimeout instead left 295
	// gateways without quota for 0.6 to 0.9 s after its successor was elected.
	//
	// If failure domains span several regions, it is the slack on top of the instance's
	// recent answer times; see [link.AnswerTime].
	overdueTimeout = 100 * time.Millisecond
	// firstAnswerAllowance is added to overdueTimeout for the first answer of an instance if
	// there are several regions. The sum is the two round trips, at 80 ms one way, that an
	// answer through a relay may take.
	firstAnswerAllowance = 220 * time.Millisecond
	// searchPause is the time between two rounds of leader queries, after which unreachable
	// instances are queried again.
	searchPause = 30 * time.Millisecond
	// leaderTimeout bounds a leader query. An instance that knows no leader holds the query
	// for a while.
	leaderTimeout = time.Second
	// silentLeaderTTL is how long a leader that did not answer is ignored when other instances
	// name it: by then a group with a quorum has elected another one. If the instance itself
	// reports that it leads, it is accepted immediately.
	silentLeaderTTL = time.Second
	// minPause is the minimum time between two sync requests.
	minPause = 15 * time.Millisecond
	// maxDoublings keeps the backoff from minPause from overflowing; it reaches
	// minSyncInterval earlier.
	maxDoublings = 10
)

// Client is a gateway's link to the control role.
type Client struct {
	caller      Caller
	gateway     Gateway
	limiter     Limiter        // limiter is nil if no server limits are enforced.
	quotas      QuotaRequester // quotas is nil if quota demand is part of the sync reports.
	retries     RetryBorrower  // retries is nil if no retries are borrowed.
	peerFinder  PeerFinder     // peerFinder is nil if no other gateways are asked for.
	parts       PartHolder     // parts is nil if no part is requested.
	unpack      func([]byte) (protocol.ServerList, error)
	topology    *topology.Topology
	log         zerolog.Logger
	incarnation uint64
	syncNow     chan struct{}

	quotaNow       chan struct{}
	separateQuota  atomic.Bool  // separateQuota says that quota is requested in separate calls.
	noQuotaLeader  atomic.Value // noQuotaLeader is the address of the last leader without support for separate quota calls.
	retriesNow     chan struct{}
	peersNow       chan struct{}
	limitsNow      chan struct{}
	limitsOutdated atomic.Bool  // limitsOutdated says that the leader has limits that the gateway does not have yet.
	gatewayCount   atomic.Int64 // gatewayCount is the number of gateways, for use outside the main loop.

	mu         sync.Mutex // mu guards the fields of this block.
	seeds      []string
	linkAddr   string          // linkAddr is the instance in use, the leader or a relay, for calls outside the main loop.
	leaderAddr string          // leaderAddr is the leader itself, even if linkAddr is a relay.
	queried    map[string]bool // queried holds the instances with a leader query in flight.
	controls   []string

	controlDomains []string        // controlDomains are the failure domains of controls; empty if they are not known.
	links          *link.Selector  // links picks a relay or the leader; nil if only the leader is asked.
	leaderHints    chan leaderHint // leaderHints receives the leaders that instances name.

	// The fields of this block belong to the goroutine of RunLimits.
	sharedVersions map[string]protocol.SharedLimitsVersion // sharedVersions are the versions of the shared limits received, by control instance.
	controlTurn    int

	// The fields below belong to the goroutine of Run.
	target         string
	silentLeader   string    // silentLeader is the last instance that did not answer.
	silentSince    time.Time // silentSince is when its answer failed.
	term           uint64
	lister         uint64
	listVersion    uint64
	servers        []protocol.Instance  // servers is the current server list.
	loads          []byte               // loads are the current loads of the listed servers.
	loadVersion    protocol.LoadVersion // loadVersion is the version of loads.
	gateways       int
	linked         string                      // linked is the instance that answered last; empty after the link is lost.
	reportedLeader string                      // reportedLeader is the leader's address in the last answer, possibly from a relay.
	answerTimes    map[string]*link.AnswerTime // answerTimes holds latency estimates by instance.
}

// Option configures a new client.
type Option func(*Client)

// WithRegions lets the client of a gateway in the given failure domain use a relay: one in the
// gateway's region if there are several regions, any if there are many gateways.
func WithRegions(t *topology.Topology, domain, gateway string) Option {
	return func(c *Client) {
		c.topology = t
		c.links = link.New(t, domain, gateway)
	}
}

// New returns a client that is not running yet. The seeds are peer addresses; unpack decodes
// a server list.
func New(calls Caller, g Gateway, seeds []string, unpack func([]byte) (protocol.ServerList, error), log zerolog.Logger, opts ...Option) *Client {
	c := &Client{
		caller:         calls,
		gateway:        g,
		unpack:         unpack,
		log:            log,
		incarnation:    rand.Uint64(),
		syncNow:        make(chan struct{}, 1),
		quotaNow:       make(chan struct{}, 1),
		retriesNow:     make(chan struct{}, 1),
		peersNow:       make(chan struct{}, 1),
		limitsNow:      make(chan struct{}, 1),
		seeds:          seeds,
		queried:        map[string]bool{},
		leaderHints:    make(chan leaderHint, 1),
		answerTimes:    map[string]*link.AnswerTime{},
		sharedVersions: map[string]protocol.SharedLimitsVersion{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetSeeds replaces the seeds used by the next search.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SyncNow triggers a sync request immediately.
func (c *Client) SyncNow() {
	select {
	case c.syncNow <- struct{}{}:
	default:
	}
}

// Run synchronizes the gateway until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		began := clock.Now()
		if c.step(ctx) {
			failures = 0
			c.wait(ctx, began, c.syncInterval())
			continue
		}
		c.wait(ctx, began, c.retryPause(failures))
		failures++
	}
	return nil
}

// step sends one sync request, after a search if no leader is known, and reports whether the
// answer was accepted.
func (c *Client) step(ctx context.Context) bool {
	if address := c.chooseInstance(); address != "" {
		c.target = address
	}
	if c.target == "" {
		c.gateway.Overdue()
		c.target = c.search(ctx)
		if address := c.chooseInstance(); address != "" {
			c.target = address
		}
	}
	return c.target != "" && c.syncWith(ctx, c.target)
}

// wait waits until interval has passed since the last sync request began. SyncNow shortens the
// wait, but never below minPause.
func (c *Client) wait(ctx context.Context, began time.Time, interval time.Duration) {
	if left := minPause - clock.Since(began); left > 0 {
		pause.For(ctx, left)
	}
	pause.Until(ctx, interval-clock.Since(began), c.syncNow)
}

// syncWith sends a sync request to an instance and reports whether it answered for the leader.
func (c *Client) syncWith(ctx context.Context, address string) bool {
	m := c.gateway.Report(c.term)
	m.Life, m.Lister, m.Servers, m.Gateways = c.incarnation, c.lister, c.listVersion, c.gateways
	m.Loads, m.Relayed = c.loadVersion, c.mayUseRelay()
	m.Features = protocol.OwnFeatures
	asked := clock.Now()
	got := c.await(ctx, address, c.startSync(address, m))
	if got.err != nil {
		c.silentLeader, c.silentSince = address, clock.Now()
		c.unlink(address, got.err.Error())
		c.answerTime(address).RecordTimeout(firstAnswerAllowance)
		c.recordFailure(address, true)
		c.reportRelayOverdue()
		c.target = got.newLeader
		return false
	}
	c.setControls(got.reply.Controls, got.reply.Domains)
	c.reportedLeader = got.reply.Leader
	if !got.reply.Leads && got.reply.Gateways > 0 {
		return c.redirectToRelay(address, got.reply.Gateways)
	}
	if !got.reply.Leads {
		c.unlink(address, "does not lead")
		c.recordFailure(address, false)
		c.reportRelayOverdue()
		if got.reply.Leader != address {
			c.target = got.reply.Leader
		}
		return false
	}
	c.recordAnswer(address, clock.Since(asked))
	return c.apply(address, &m, &got.reply, asked)
}

// answer is the outcome of a sync request.
type answer struct {
	reply     protocol.SyncReply
	err       error
	newLeader string // newLeader is a leader found while waiting; err is set as well.
}

// leaderHint is a leader named by an instance. An instance that names itself is the current
// leader even if it did not answer a moment ago, since it may have restarted.
type leaderHint struct {
	leader       string
	selfReported bool
}

// errNoLeader is returned if no leader is known.
var errNoLeader = eris.New("no leader is known")

// ErrReplyOverdue is the reason for leaving an instance whose answer is overdue while another
// instance leads.
var ErrReplyOverdue = eris.New("answer overdue and another instance leads")

// startSync sends a sync request and returns a channel that receives its outcome.
func (c *Client) startSync(address string, m protocol.SyncMsg) <-chan answer {
	timeout := syncTimeout
	if c.lister == 0 {
		timeout = firstSyncTimeout
	}
	answers := make(chan answer, 1)
	go func() {
		var a answer
		a.err = c.caller.Call(address, "Uplink.Sync", m, &a.reply, timeout)
		answers <- a
	}()
	return answers
}

// await waits for the answer to a sync request. While it is overdue, the other control
// instances are queried for the leader, and the first different leader ends the wait.
func (c *Client) await(ctx context.Context, address string, answers <-chan answer) answer {
	var hints <-chan leaderHint // hints is nil until the answer is overdue.
	timer := time.NewTimer(c.answerTimeout(address))
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			return a
		case <-timer.C:
			if hints == nil {
				c.handleOverdue()
				hints = c.leaderHints
			}
			c.gateway.Overdue()
			c.queryControls(protocol.LeaderMsg{Besides: address}, address)
			timer.Reset(searchPause)
		case n := <-hints:
			if n.leader != address {
				return answer{err: ErrReplyOverdue, newLeader: n.leader}
			}
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		}
	}
}

// handleOverdue clears the link, so that no placement request waits for a leader that may be
// down, and discards an earlier leader hint.
func (c *Client) handleOverdue() {
	c.setLeader("", "")
	select {
	case <-c.leaderHints:
	default:
	}
}

// apply applies an answer given for the leader and reports whether it could be applied.
func (c *Client) apply(address string, m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time) bool {
	if len(reply.Document) > 0 {
		if err := c.gateway.Document(reply.Number, reply.Document); err != nil {
			c.log.Error().Err(err).Uint64("number", reply.Number).Msg("an accepted document cannot be read")
			return false
		}
	}
	if c.limiter != nil {
		c.limiter.LimitsOutdated(reply.Term, reply.Limits) // Before the list, so that no request is sent to a server whose limit is missing.
	}
	c.gateway.SetRollouts(reply, asked)
	c.gateway.SetQuarantine(reply)
	if reply.Listed {
		list, err := c.updateServers(reply)
		if err != nil {
			c.log.Error().Err(err).Msg("the list cannot be read")
			return false
		}
		c.gateway.SetServers(list)
		c.lister, c.listVersion = reply.Lister, reply.Version
	}
	if reply.ListLate {
		c.gateway.ListLate()
	}
	c.gateway.Confirm(asked, reply.Gateways)
	c.gateway.HandleSyncReply(m, reply, asked)
	c.gateway.SetLanes(reply.Lanes)
	if err := c.updateLoads(reply); err != nil {
		c.log.Error().Err(err).Str("from", address).Msg("the servers' loads cannot be read")
	}
	c.logLink(address, reply)
	c.linked, c.target, c.term = address, address, reply.Term
	c.setGateways(reply.Gateways)
	c.setLeader(address, cmp.Or(reply.Leader, address))
	c.setSeparateQuota(c.supportsSeparateQuota(cmp.Or(reply.Leader, address)))
	c.gatewayCount.Store(int64(reply.Gateways))
	c.checkLimits(reply)
	return true
}

// logLink logs the instance in use if it or the term changed.
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

// updateLoads passes the loads of all servers to the gateway if the answer has loads for the
// current list. If they cannot be decoded, the next request asks for all of them.
func (c *Client) updateLoads(reply *protocol.SyncReply) error {
	if reply.Listed || (len(reply.Loads) == 0 && reply.Loaded.Version == 0) {
		return nil
	}
	loads, err := place.UpdateLoads(c.loads, c.loadVersion, reply.Loads, reply.LoadChanges, reply.Loaded)
	if err != nil {
		c.loads, c.loadVersion = nil, protocol.LoadVersion{}
		return err
	}
	c.loads, c.loadVersion = loads, reply.Loaded
	if len(loads) > 0 {
		c.gateway.SetLoads(loads, reply.Distrusted)
	}
	return nil
}

// updateServers applies an answer with a full list or with changes and returns the full list.
func (c *Client) updateServers(reply *protocol.SyncReply) ([]protocol.Instance, error) {
	update, err := c.unpack(reply.List)
	if err != nil {
		return nil, err
	}
	c.servers = update.ApplyTo(c.servers)
	return c.servers, nil
}

// unlink drops the link to the leader or relay after a failed request.
func (c *Client) unlink(address, reason string) {
	if c.linked != "" {
		c.log.Warn().Str("instance", address).Str("reason", reason).Msg("link to the control role lost")
	}
	c.linked, c.target = "", ""
	c.setLeader("", "")
}

// setLeader sets the instance in use, which answers for the leader, and the leader itself.
func (c *Client) setLeader(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkAddr, c.leaderAddr = address, leader
}

// setControls records the control instances reported by one of them.
func (c *Client) setControls(controls, domains []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.SetControls(controls, domains)
	if len(controls) > 0 {
		c.controls, c.controlDomains = controls, domains
	}
}
