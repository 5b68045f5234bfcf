package control

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// gatewayKept is how long a gateway counts that does not ask any more.
const gatewayKept = 3 * time.Second

// Uplink answers the gateways. Its methods are called by net/rpc.
type Uplink struct {
	group Group
	peers func() (leader string, all []string)
	parse func(number uint64, data []byte) (*protocol.Catalog, error)
	quota time.Duration        // quota is the window in which quotas are bounded.
	alone time.Duration        // alone is for how long a gateway that is not heard goes on serving.
	quiet func() time.Duration // quiet is for how long nothing was granted before this instance led.
	began time.Time
	clock *usage.Clock
	log   zerolog.Logger
	// incarnation is drawn at each start. Versions of loads, and the requests that this
	// instance placed, go by it, so that those of others and of other starts differ.
	incarnation uint64

	accepted atomic.Pointer[document] // accepted is the newest document, as it was accepted.
	arrived  chan struct{}            // arrived receives that there is one.
	prepare  sync.Mutex               // prepare is held while a document is made ready; it is taken before mu.
	readied  atomic.Uint64            // readied is the number of the one that was made ready last.
	logged   atomic.Pointer[logged]   // logged are the roll-outs of the log.
	exposure Exposure                 // exposure bounds what a version on trial gets.
	topology *topology.Topology       // topology tells the regions of the domains.
	meters   rolloutMeters

	quarantined atomic.Pointer[protocol.QuarantineLog] // quarantined is the quarantine of the log.

	relay    atomic.Pointer[Relay]         // relay answers gateways while this instance does not lead; nil for none.
	domainOf func(peers []string) []string // domainOf tells the domains of control instances.

	passing sync.Mutex               // passing guards passed, and is taken alone.
	passed  *backpressure.LimitCache // passed holds the limits of servers that gateways report while there is no leader.

	mu      sync.Mutex // mu guards all below.
	number  uint64
	packed  []byte // packed is the document.
	catalog *protocol.Catalog
	term    uint64 // term is the one that the rest belongs to.
	entered time.Time
	earlier int // earlier is how many gateways a leader before counted, as they tell.
	listing
	news     chan struct{} // news is closed and replaced when a list was read.
	gateways map[string]*gateway
	quotas   *quota.Coordinator
	ledger   *usage.Ledger
	marks    *usage.Watermarks // marks are up to when the gateways have told their counts.
	view     *place.View
	places   *place.PromptScheduler
	readings *place.Readings
	loads    *place.Loads
	vector   place.LoadVector // vector is the loads as they were told last.
	relays   map[string]*relayRecord
	placed   place.Placements // placed are the places that this instance and its relays gave.
	common   common
	rolled   uint64            // rolled is the change of the roll-outs that the view follows.
	trials   map[uint64]*trial // trials are the roll-outs that run, by number.
	keeper   *quarantine.Coordinator
	book     *backpressure.PermitAllocator // book are the servers that limit their requests.
	starts   place.Incarnations            // starts are the newest ones of the servers, over all terms.
	unnamed  map[versionOf]time.Time       // unnamed are versions that nothing names, by when they were listed first.
}

// common is the part of the answers that is the same for all gateways.
type common struct {
	at       time.Time
	distrust map[string][]byte // distrust is by the gateways' domain.
	short    []string
	lanes    []protocol.ServiceLanes
	gateways int // gateways are how many asked lately.
}

// commonKept is how old that may be: with hundreds of gateways it is made for
// several at once. What is added up over all gateways would cost each answer the
// more, the more of them there are.
const commonKept = 10 * time.Millisecond

// gateway is the last report of a gateway.
type gateway struct {
	at       time.Time
	domain   string
	pressure []protocol.Pressure
	ahead    time.Duration // ahead is by how much its clock is before this instance's.
}

// UplinkOption changes a new uplink.
type UplinkOption func(*Uplink)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) UplinkOption { return func(u *Uplink) { u.log = l } }

// WithExposure sets what a version on trial may get; without it, nothing.
func WithExposure(e Exposure) UplinkOption { return func(u *Uplink) { u.exposure = e } }

// WithTopology sets where the failure domains lie; without it they all are near.
func WithTopology(t *topology.Topology) UplinkOption { return func(u *Uplink) { u.topology = t } }

// WithDomains sets what tells the failure domains of control instances by their peer
// addresses. Gateways ask the near ones, where they do not ask the leader.
func WithDomains(domainOf func(peers []string) []string) UplinkOption {
	return func(u *Uplink) { u.domainOf = domainOf }
}

// domains returns the failure domains of control instances, where gateways need them.
func (u *Uplink) domains(peers []string) []string {
	if u.domainOf == nil {
		return nil
	}
	return u.domainOf(peers)
}

// WithRegistry sets the registry of the meters; without it nothing is counted.
func WithRegistry(r metrics.Registry) UplinkOption {
	return func(u *Uplink) {
		u.meters = newRolloutMeters(r)
		metrics.NewRegisteredFunctionalGauge("places", r, u.placesUnderWay)
	}
}

// unlogged is for how long a leader may have gone on after what it logged last, while
// gateways ran anything: the pause between two logged states of the counts, the wait
// for the next look, and the end of its lease.
const unlogged = tallyEvery + dutyTick + 200*time.Millisecond

// WithLogIdleTime sets what tells how long ago the latest command had been logged when
// this instance began to lead. Quotas then begin with what their rates gave since,
// less what may not have been logged. It needs leaders that log the counts of usage.
func WithLogIdleTime(quiet func() time.Duration) UplinkOption {
	return func(u *Uplink) { u.quiet = func() time.Duration { return quiet() - unlogged } }
}

// WithGatewayGrace sets for how long a gateway goes on serving that does not hear from the
// control role. Without it, usage waits only for gateways that were heard in the
// window.
func WithGatewayGrace(d time.Duration) UplinkOption { return func(u *Uplink) { u.alone = d } }

// NewUplink returns the receiver to register under "Uplink". The func peers
// tells the peer addresses of the leader, as far as one is known that can answer,
// and of all control instances; parse translates a document.
func NewUplink(g Group, peers func() (string, []string), parse func(uint64, []byte) (*protocol.Catalog, error), quotaWindow time.Duration, opts ...UplinkOption) *Uplink {
	now := clock.Now()
	u := &Uplink{
		incarnation: rand.Uint64(),
		news:        make(chan struct{}),
		arrived:     make(chan struct{}, 1),
		group:       g,
		peers:       peers,
		parse:       parse,
		quota:       quotaWindow,
		began:       now,
		clock:       usage.NewClock(now),
		log:         zerolog.Nop(),
		meters:      newRolloutMeters(metrics.NewRegistry()),
		quiet:       func() time.Duration { return 0 },
	}
	for _, opt := range opts {
		opt(u)
	}
	u.passed = backpressure.NewLimitCache(u.incarnation)
	u.logged.Store(&logged{})
	u.quarantined.Store(&protocol.QuarantineLog{})
	u.reset(0)
	return u
}

// reset forgets what belongs to a term. It needs u.mu.
func (u *Uplink) reset(term uint64) {
	u.term, u.entered, u.earlier = term, clock.Now(), 0
	u.gateways = map[string]*gateway{}
	u.quotas = quota.NewCoordinator(u.quota, quota.WithGrantPause(u.quiet()))
	u.ledger = usage.NewLedger()
	u.marks = usage.NewWatermarks(u.alone)
	u.listed, u.servers, u.history, u.due = false, nil, history{}, u.entered.Add(listEvery+listSlack)
	u.loads, u.order, u.common = place.NewLoads(), nil, common{}
	u.vector.Reset(nil)
	u.relays, u.placed = map[string]*relayRecord{}, place.Placements{}
	u.view, u.places = nil, place.NewPromptScheduler(u.loads, place.WithTopology(u.topology))
	u.readings = place.NewReadings()
	u.keeper = quarantine.NewCoordinator()
	u.book = backpressure.NewPermitAllocator()
	u.rolled, u.trials, u.unnamed = 0, nil, map[versionOf]time.Time{}
	if u.catalog != nil {
		u.quotas.Configure(u.catalog.Workspaces, clock.Now())
	}
}

// enter makes sure that what is held belongs to a term. It needs u.mu.
func (u *Uplink) enter(term uint64) {
	if u.term != term {
		u.reset(term)
	}
}

// Catalog returns the catalog that holds, or nil.
func (u *Uplink) Catalog() *protocol.Catalog {
	u.ready()
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
		return u.relayed(m, reply)
	}
	u.ready()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	u.enter(term)
	if u.sharesOut(&m, reply, now) {
		return nil
	}
	u.identify(&m)
	u.loads.SetReport(m.Gateway, place.GatewayReport{Domain: m.Domain, Running: m.Running, Distrusts: m.Distrusts})
	u.takeReadings(u.incarnation, m.Readings, now)
	u.placesDone(m.Done, term)
	reply.Term = term
	reply.Number = u.number
	if u.number > m.Number {
		reply.Document = u.packed
	}
	u.answerOwn(&m, reply, now)
	u.answerChanges(m.Rollouts, reply)
	tellQuarantine(u.quarantined.Load(), u.keeper.Watched(), m.QuarantineChange(), m.Watched, reply)
	u.tellServers(&m, reply)
	reply.ListLate = now.After(u.due)
	u.renewCommon(now)
	reply.Short = u.common.short
	if u.holds(&m) && !u.startless(&m) { // The rest is told by the order of identities.
		reply.Distrusted = u.distrusted(m.Domain)
		tellLoads(&u.vector, u.mark(), m.Loads, reply)
		reply.Readings, reply.ReadingsAt = u.readings.Since(m.ReadingsAt)
	}
	reply.Limits = u.book.Change()
	reply.Gateways = u.common.gateways
	reply.Clock = u.clock.Now(now.Sub(u.began))
	reply.Lanes = u.common.lanes
	// The lease may have run out meanwhile: then nothing of this may count.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// placesUnderWay is how many requests this instance placed that have not ended, as it knows.
func (u *Uplink) placesUnderWay() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(u.places.InProgress())
}

// placesDone notes the ends of requests that this instance placed in a term. It needs u.mu.
func (u *Uplink) placesDone(ends []protocol.PlaceDone, term uint64) {
	for _, d := range ends {
		if d.Term == term && d.Placer == u.incarnation {
			u.places.Done(place.DoneMsg{Number: d.Number, First: d.First, Took: d.Took})
		}
	}
}

// takeReadings notes what servers were given to read, as a gateway or a relay tells: from
// is the incarnation of the instance that passes it on. It needs u.mu.
func (u *Uplink) takeReadings(from uint64, rows []protocol.Prefill, now time.Time) {
	for _, r := range rows {
		u.readings.Add(from, r.Server, r.Links)
		u.places.RecordPrefill(r.Server, r.Links, now)
	}
}

// answerOwn takes the part of a gateway's question that is its own, whether it came from
// the gateway or in a relay's batch, and answers it. It needs u.mu.
func (u *Uplink) answerOwn(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) {
	g := &gateway{at: now, domain: m.Domain, pressure: m.Pressure}
	if !m.Clock.IsZero() {
		g.ahead = m.Clock.Sub(u.clock.Own(now.Sub(u.began)))
	}
	u.gateways[m.Gateway] = g
	u.earlier = max(u.earlier, m.Gateways)
	u.ledger.Take(m.Gateway, m.Life, m.Usage)
	if m.Term == u.term {
		u.marks.Take(m.Gateway, m.Counted, u.clock.Now(now.Sub(u.began)))
	}
	u.answerTrials(m, reply, now)
	u.keeper.AddObservations(m.Gateway, m.Observations, u.leaves, now)
	for _, want := range m.Wants {
		reply.Grants = append(reply.Grants, u.quotas.Grant(want, now))
	}
}

// tellLoads puts the loads of all servers into an answer, or what changed since those that
// the asker holds, where that is known and shorter. The mark now names those of v.
func tellLoads(v *place.LoadVector, now, held protocol.LoadVersion, reply *protocol.SyncReply) {
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

// Place finds a server for a long prompt, in the knowledge of those of all
// gateways.
func (u *Uplink) Place(m protocol.PlaceMsg, reply *protocol.PlaceReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		return u.relayedPlace(&m, reply)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	if u.view == nil {
		return nil
	}
	placed, ok := u.places.Place(u.view, prompt(&m), clock.Now())
	if ok {
		u.readings.Add(u.incarnation, placed.Server, placed.NewLinks)
		*reply = placeReply(&placed, term, u.incarnation)
	}
	return nil
}

// placeReply returns the answer to a gateway for whose long prompt a server was found, by
// the placer of an incarnation.
func placeReply(p *place.Placed, term, placer uint64) protocol.PlaceReply {
	return protocol.PlaceReply{Server: p.Server, Holder: p.Holder, Term: term, Number: p.Number, Placer: placer}
}

// prompt returns a gateway's question for a place as the ledger takes it.
func prompt(m *protocol.PlaceMsg) place.PromptMsg {
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
	}
}

// agreed returns the time of day that most instances agree on: the middle one of
// the gateways' clocks and this instance's. It needs u.mu.
func (u *Uplink) agreed(now time.Time) time.Time {
	ahead := make([]time.Duration, 1, len(u.gateways)+1) // The first is this instance's own.
	for _, g := range u.gateways {
		ahead = append(ahead, g.ahead)
	}
	since := now.Sub(u.began)
	u.clock.Agreed(u.clock.Own(since).Add(usage.Median(ahead)), since)
	return u.clock.Now(since)
}

// Clock returns the time of day that most instances agree on.
func (u *Uplink) Clock() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.alive(clock.Now())
	return u.agreed(clock.Now())
}

// renewCommon makes the common part of the answers anew if it is too old. It
// needs u.mu.
func (u *Uplink) renewCommon(now time.Time) {
	if u.common.distrust != nil && now.Sub(u.common.at) <= commonKept {
		return
	}
	u.common = common{
		at:       now,
		gateways: u.alive(now),
		distrust: map[string][]byte{},
		short:    u.quotas.Short(now),
		lanes:    u.lanes(),
	}
	u.vector.Set(u.loads.Pack(u.order))
	u.agreed(now)
}

// mark returns the mark of the loads that answers tell now. It needs u.mu.
func (u *Uplink) mark() protocol.LoadVersion {
	return protocol.LoadVersion{Incarnation: u.incarnation, Version: u.vector.Version()}
}

// distrusted returns the listed servers that the gateways of a domain are to pass
// over. It needs u.mu.
func (u *Uplink) distrusted(domain string) []byte {
	packed, ok := u.common.distrust[domain]
	if !ok {
		packed = u.loads.PackDistrust(u.order, domain)
		u.common.distrust[domain] = packed
	}
	return packed
}

// alive counts the gateways that asked lately, as many at least, at the beginning of
// a term, as the leader before counted: they divide by it what all may do together,
// and a tenth of them would each take ten times its part. It needs u.mu.
func (u *Uplink) alive(now time.Time) int {
	for name, g := range u.gateways {
		if now.Sub(g.at) > gatewayKept {
			delete(u.gateways, name)
			u.loads.Drop(name)
		}
	}
	u.dropRelays(now)
	if now.Sub(u.entered) <= gatewayKept {
		return max(len(u.gateways), u.earlier)
	}
	return len(u.gateways)
}
