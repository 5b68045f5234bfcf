package control

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// gatewayTTL is how long a gateway counts after its last request.
const gatewayTTL = 3 * time.Second

// Uplink answers the gateways. Its methods are called by net/rpc.
type Uplink struct {
	group        Group
	peers        func() (leader string, all []string)
	parse        func(number uint64, data []byte) (*protocol.Catalog, error)
	quotaWindow  time.Duration // quotaWindow is the window over which quotas are bounded.
	retryBudget  RetryBudget
	gatewayGrace time.Duration        // gatewayGrace is how long a gateway without contact to the control role continues to serve.
	firstLeader  func() bool          // firstLeader reports whether this instance leads and no other led before.
	voters       func() []string      // voters returns the peer addresses of the instances that vote.
	logIdleTime  func() time.Duration // logIdleTime returns how long nothing was granted before this instance led.
	startedAt    time.Time
	clock        *usage.Clock
	log          zerolog.Logger
	// incarnation is random for each start. It qualifies versions of loads and the numbers of
	// requests that this instance placed, to tell them from those of others and of other starts.
	incarnation uint64

	accepted         atomic.Pointer[acceptedDocument] // accepted is the newest accepted document, in its original encoding.
	documentAccepted chan struct{}                    // documentAccepted signals that there is a new one.
	prepareMu        sync.Mutex                       // prepareMu is held while a document is prepared. It is acquired before mu.
	preparedNumber   atomic.Uint64                    // preparedNumber is the number of the last document prepared.
	loggedRollouts   atomic.Pointer[loggedRollouts]   // loggedRollouts are the roll-outs in the log.
	exposure         Exposure                         // exposure bounds the requests sent to versions on trial.
	topology         *topology.Topology               // topology maps failure domains to regions.
	meters           rolloutMeters

	quarantineLog atomic.Pointer[protocol.QuarantineLog] // quarantineLog is the quarantine in the log.

	relay    atomic.Pointer[Relay]         // relay answers gateways while this instance does not lead; nil if there is none.
	domainOf func(peers []string) []string // domainOf returns the domains of control instances.

	registry      metrics.Registry
	loggedBrittle atomic.Pointer[[]protocol.BrittleService] // loggedBrittle are the services with brittle servers of the log.

	keptOrigins keptOrigins // keptOrigins are the origins of streams that gateways gave this instance to keep.

	limitCopies limitCopies // limitCopies are the servers' limits that the leader knows.

	sharedMu     sync.Mutex               // sharedMu guards sharedLimits and is not held together with other locks.
	sharedLimits *backpressure.LimitCache // sharedLimits holds the servers' limits that gateways report while there is no leader.

	mu               sync.Mutex // mu guards the fields below.
	number           uint64
	packed           []byte // packed is the compressed document.
	catalog          *protocol.Catalog
	term             uint64 // term is the term of the state below.
	enteredAt        time.Time
	reportedGateways int // reportedGateways is how many gateways an earlier leader counted, according to the gateways.
	serverList
	listChanged        chan struct{} // listChanged is closed and replaced when the list changes.
	gateways           map[string]*gatewayReport
	quotas             *quota.Coordinator
	ledger             *usage.Ledger
	watermarks         *usage.Watermarks // watermarks are the times up to which the gateways have reported their counts.
	view               *place.View
	places             *place.PromptScheduler
	readings           *place.PrefillLog
	loads              *place.Loads
	vector             place.LoadVector // vector holds the loads as last sent.
	relays             map[string]*relayRecord
	placed             place.Placements // placed are the placements made by this instance and its relays.
	common             commonReply
	appliedRollouts    uint64                    // appliedRollouts is the version of the roll-outs that the view is based on.
	activeRollouts     map[uint64]*activeRollout // activeRollouts are the running roll-outs, by number.
	quarantine         *quarantine.Coordinator
	parts              *allot.Table                  // parts are the gateways' parts of what they may do without a leader.
	retries            *retry.Ledger                 // retries lends the extra of the retry budgets.
	permits            *backpressure.PermitAllocator // permits holds the servers with rate limits.
	limitsInherited    chan struct{}                 // limitsInherited is closed when permits has the limits of the predecessor; nil if it had them from the start.
	serverIncarnations place.Incarnations            // serverIncarnations are the newest incarnations of the servers, over all terms.
	directory          *reach.Directory              // directory holds the gateways that take requests from others.
	versions           *origin.History               // versions are the versions and services that the lists and documents of this term had.
	unannounced        map[serviceVersion]time.Time  // unannounced maps versions without an order to when they were first listed.
}

// commonReply is the part of the answers that is the same for all gateways.
type commonReply struct {
	computedAt time.Time
	distrusted map[string][]byte // distrusted is by the gateways' domain.
	short      []string
	lanes      []protocol.ServiceLanes
	gateways   int // gateways is the number of active gateways.
}

// commonTTL is how long a commonReply is used. It adds up the reports of all gateways, so with
// hundreds of them computing it for each answer would make each answer more expensive the more
// gateways there are.
const commonTTL = 10 * time.Millisecond

// gatewayReport is the last report of a gateway.
type gatewayReport struct {
	lastSeen    time.Time
	domain      string
	pressure    []protocol.Pressure
	clockOffset time.Duration // clockOffset is by how much its clock is ahead of this instance's.
}

// domains returns the failure domains of control instances, if they are configured.
func (u *Uplink) domains(peers []string) []string {
	if u.domainOf == nil {
		return nil
	}
	return u.domainOf(peers)
}

// NewUplink returns the receiver to register under "Uplink". The func peers returns the peer
// addresses of the leader, if a reachable one is known, and of all control instances; parse
// decodes a document.
func NewUplink(g Group, peers func() (string, []string), parse func(uint64, []byte) (*protocol.Catalog, error), quotaWindow time.Duration, opts ...UplinkOption) *Uplink {
	now := clock.Now()
	u := &Uplink{
		incarnation:      rand.Uint64(),
		listChanged:      make(chan struct{}),
		documentAccepted: make(chan struct{}, 1),
		group:            g,
		peers:            peers,
		parse:            parse,
		quotaWindow:      quotaWindow,
		startedAt:        now,
		clock:            usage.NewClock(now),
		log:              zerolog.Nop(),
		meters:           newRolloutMeters(metrics.NewRegistry()),
		registry:         metrics.NewRegistry(),
		firstLeader:      func() bool { return false },
		voters:           func() []string { return nil },
		logIdleTime:      func() time.Duration { return 0 },
	}
	for _, opt := range opts {
		opt(u)
	}
	u.keptOrigins.table = origin.NewTable(maxKeptOrigins)
	u.sharedLimits = backpressure.NewLimitCache(u.incarnation)
	u.loggedRollouts.Store(&loggedRollouts{})
	u.quarantineLog.Store(&protocol.QuarantineLog{})
	u.loggedBrittle.Store(&[]protocol.BrittleService{})
	u.reset(0)
	return u
}

// reset discards the state of a term. The caller holds u.mu.
func (u *Uplink) reset(term uint64) {
	u.term, u.enteredAt, u.reportedGateways = term, clock.Now(), 0
	u.gateways = map[string]*gatewayReport{}
	u.quotas = quota.NewCoordinator(u.quotaWindow, quota.WithGrantPause(u.logIdleTime()))
	u.ledger = usage.NewLedger()
	u.watermarks = usage.NewWatermarks(u.gatewayGrace)
	u.listed, u.servers, u.history, u.staleAt = false, nil, history{}, u.enteredAt.Add(minListInterval+listGrace)
	u.loads, u.serverOrder, u.common = place.NewLoads(), nil, commonReply{}
	u.vector.Reset(nil)
	u.relays, u.placed = map[string]*relayRecord{}, place.Placements{}
	u.view, u.places = nil, place.NewPromptScheduler(u.loads, place.WithTopology(u.topology))
	u.readings = place.NewPrefillLog()
	u.quarantine = quarantine.NewCoordinator()
	u.directory = reach.NewDirectory()
	u.versions = origin.NewHistory(u.enteredAt)
	u.resetShares()
	u.appliedRollouts, u.activeRollouts, u.unannounced = 0, nil, map[serviceVersion]time.Time{}
	if u.catalog != nil {
		u.quotas.Configure(u.catalog.Workspaces, u.enteredAt)
		u.versions.Routes(u.catalog.Routes, u.enteredAt)
	}
}

// resetShares discards what an earlier leader, or this one in an earlier term, gave away. The caller
// holds u.mu.
func (u *Uplink) resetShares() {
	u.parts = allot.NewTable(u.enteredAt)
	rooms := backpressure.NewRoomLedger(u.enteredAt, u.ledgerOptions()...)
	u.retries = retry.NewLedger(u.retryBudget.Extra, u.retryBudget.Window, u.enteredAt)
	if u.firstLeader() {
		u.parts = allot.NewTable(u.enteredAt, allot.WithoutPredecessor())
		u.retries = retry.NewLedger(u.retryBudget.Extra, u.retryBudget.Window, u.enteredAt, retry.WithoutPredecessor())
		rooms = backpressure.NewRoomLedger(u.enteredAt, backpressure.WithoutPredecessor())
	}
	u.permits = backpressure.NewPermitAllocator(backpressure.WithRoomLedger(rooms))
	u.permits.RememberBrittle(*u.loggedBrittle.Load(), u.enteredAt)
	u.inheritLimits()
}

// enterTerm ensures that the state belongs to a term. The caller holds u.mu.
func (u *Uplink) enterTerm(term uint64) {
	if u.term != term {
		u.reset(term)
	}
}

// Catalog returns the catalog in force, or nil.
func (u *Uplink) Catalog() *protocol.Catalog {
	u.prepareDocument()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.catalog
}

// Sync answers a gateway.
func (u *Uplink) Sync(m protocol.SyncMsg, reply *protocol.SyncReply) error {
	reply.Leader, reply.Controls = u.peers()
	reply.Domains = u.domains(reply.Controls)
	term, ok := u.group.Vouches()
	if ok && m.Lister == 0 {
		u.awaitList(term)
		term, ok = u.group.Vouches()
	}
	if !ok {
		return u.relaySync(m, reply)
	}
	u.prepareDocument()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	u.enterTerm(term)
	if u.sendToRelays(&m, reply, now) {
		return nil
	}
	u.resolveNames(&m)
	u.loads.SetReport(m.Gateway, place.GatewayReport{Domain: m.Domain, Running: m.Running, Distrusts: m.Distrusts})
	u.addReadings(u.incarnation, m.Readings, now)
	u.recordDone(m.Done, term)
	reply.Term = term
	reply.Number = u.number
	if u.number > m.Number {
		reply.Document = u.packed
	}
	u.handleReport(&m, reply, now)
	u.quarantine.SetAsks(m.Gateway, m.Asks, now)
	u.fillRollouts(m.Rollouts, reply)
	fillQuarantine(u.quarantineLog.Load(), u.quarantine.Watched(), m.QuarantineChange(), m.Watched, reply)
	reply.Pending = u.quarantine.Pending()
	u.fillServers(&m, reply)
	reply.ListLate = now.After(u.staleAt)
	u.refreshCommon(now)
	reply.Short = u.common.short
	if u.isCurrent(&m) && !u.wantsNamesOnly(&m) { // The rest is encoded by the order of the server IDs.
		reply.Distrusted = u.distrusted(m.Domain)
		fillLoads(&u.vector, u.loadVersion(), m.Loads, reply)
		reply.Readings, reply.ReadingsAt = u.readings.Since(m.ReadingsAt)
	}
	reply.Limits = u.permits.Change()
	reply.Gateways = u.common.gateways
	reply.Clock = u.clock.Now(now.Sub(u.startedAt))
	reply.Lanes = u.common.lanes
	// The lease may have expired meanwhile, in which case nothing of this answer may count.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// placementsInProgress returns the number of requests that this instance placed and that have
// not ended as far as it knows.
func (u *Uplink) placementsInProgress() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(u.places.InProgress())
}

// recordDone records the completion of requests that this instance placed in a term. The caller
// holds u.mu.
func (u *Uplink) recordDone(ends []protocol.PlaceDone, term uint64) {
	for _, d := range ends {
		if d.Term == term && d.Placer == u.incarnation {
			u.places.Done(place.DoneMsg{Number: d.Number, First: d.First, Took: d.Took})
		}
	}
}

// addReadings records prompts that servers have processed, as reported by a gateway or a relay;
// from is the incarnation of the instance that forwards them. The caller holds u.mu.
func (u *Uplink) addReadings(from uint64, rows []protocol.Prefill, now time.Time) {
	for _, r := range rows {
		u.readings.Add(from, r.Server, r.Links)
		u.places.RecordPrefill(r.Server, r.Links, now)
	}
}

// handleReport processes the part of a request that is the gateway's own, whether it came from
// the gateway or in a relay's batch, and answers it. The caller holds u.mu.
func (u *Uplink) handleReport(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) {
	g := &gatewayReport{lastSeen: now, domain: m.Domain, pressure: m.Pressure}
	if !m.Clock.IsZero() {
		g.clockOffset = m.Clock.Sub(u.clock.Local(now.Sub(u.startedAt)))
	}
	u.gateways[m.Gateway] = g
	u.reportedGateways = max(u.reportedGateways, m.Gateways)
	u.ledger.Record(m.Gateway, m.Life, m.Usage)
	if m.Term == u.term {
		u.watermarks.Record(m.Gateway, m.Counted, u.clock.Now(now.Sub(u.startedAt)))
	}
	u.handleTrials(m, reply, now)
	u.quarantine.AddObservations(m.Gateway, m.Observations, u.isLeaving, now)
	for _, want := range m.Wants {
		reply.Grants = append(reply.Grants, u.quotas.Grant(want, now))
	}
}

// fillLoads adds the loads of all servers to an answer, or only the changes since the version
// that the recipient holds, if they are known and shorter. The version now is that of v.
func fillLoads(v *place.LoadVector, now, held protocol.LoadVersion, reply *protocol.SyncReply) {
	reply.Loaded = now
	changes, ok := []byte(nil), false
	if held.Incarnation == now.Incarnation {
		changes, ok = v.Since(held.Version)
	}
	if ok {
		reply.LoadChanges = changes
		return
	}
	reply.Loads = bytes.Clone(v.Values())
}

// Place selects a server for a long prompt, based on the prompts of all gateways.
func (u *Uplink) Place(m protocol.PlaceMsg, reply *protocol.PlaceReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		return u.relayPlace(&m, reply)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	if u.view == nil {
		return nil
	}
	placed, ok := u.places.Place(u.view, toPromptMsg(&m), clock.Now())
	if ok {
		u.readings.Add(u.incarnation, placed.Server, placed.NewLinks)
		*reply = placeReply(&placed, term, u.incarnation)
	}
	return nil
}

// placeReply returns the answer to a gateway for a placed prompt; placer is the incarnation of
// the instance that placed it.
func placeReply(p *place.Placed, term, placer uint64) protocol.PlaceReply {
	return protocol.PlaceReply{Server: p.Server, Holder: p.Holder, Term: term, Number: p.Number, Placer: placer}
}

// toPromptMsg converts a gateway's request to that of the scheduler.
func toPromptMsg(m *protocol.PlaceMsg) place.PromptMsg {
	return place.PromptMsg{
		Service: m.Service,
		Prompt:  m.Prompt,
		Shared:  m.Shared,
		Answer:  m.Answer,
		Prefix:  m.Prefix,
		Chain:   m.Chain,
		Domain:  m.Domain,
		Avoid:   m.Avoid,
		Copies:  m.Copies,
		Parts:   m.Parts,
		Target:  m.Target,
		Gap:     m.Gap,
		Version: m.Version,
	}
}

// updateClock updates and returns the wall-clock time that most instances agree on: the median
// of the gateways' clocks and this instance's. The caller holds u.mu.
func (u *Uplink) updateClock(now time.Time) time.Time {
	ahead := make([]time.Duration, 1, len(u.gateways)+1) // The first is this instance's own.
	for _, g := range u.gateways {
		ahead = append(ahead, g.clockOffset)
	}
	since := now.Sub(u.startedAt)
	u.clock.SetAgreed(u.clock.Local(since).Add(usage.Median(ahead)), since)
	return u.clock.Now(since)
}

// Clock returns the wall-clock time that most instances agree on.
func (u *Uplink) Clock() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countGateways(clock.Now())
	return u.updateClock(clock.Now())
}

// refreshCommon recomputes the common part of the answers if it has expired. The caller holds
// u.mu.
func (u *Uplink) refreshCommon(now time.Time) {
	if u.common.distrusted != nil && now.Sub(u.common.computedAt) <= commonTTL {
		return
	}
	u.common = commonReply{
		computedAt: now,
		gateways:   u.countGateways(now),
		distrusted: map[string][]byte{},
		short:      u.quotas.Short(now),
		lanes:      u.mergedLanes(),
	}
	u.vector.Set(u.loads.Pack(u.serverOrder))
	u.updateClock(now)
}

// loadVersion returns the version of the loads that answers contain. The caller holds u.mu.
func (u *Uplink) loadVersion() protocol.LoadVersion {
	return protocol.LoadVersion{Incarnation: u.incarnation, Version: u.vector.Version()}
}

// distrusted returns the listed servers that the gateways of a domain should avoid. The caller
// holds u.mu.
func (u *Uplink) distrusted(domain string) []byte {
	packed, ok := u.common.distrusted[domain]
	if !ok {
		packed = u.loads.PackDistrust(u.serverOrder, domain)
		u.common.distrusted[domain] = packed
	}
	return packed
}

// countGateways returns the number of active gateways, and at the beginning of a term at least
// the number that the former leader counted. Gateways divide shared budgets by it: with only a
// tenth of them known, each would take ten times its share. The caller holds u.mu.
func (u *Uplink) countGateways(now time.Time) int {
	for name, g := range u.gateways {
		if now.Sub(g.lastSeen) > gatewayTTL {
			delete(u.gateways, name)
			u.loads.Drop(name)
		}
	}
	u.dropRelays(now)
	if now.Sub(u.enteredAt) <= gatewayTTL {
		return max(len(u.gateways), u.reportedGateways)
	}
	return len(u.gateways)
}
