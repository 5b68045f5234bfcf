package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// scenario is a synthetic load on a service during a roll-out.
type scenario struct {
	name         string
	rate         float64 // rate is in requests a second.
	routes       int
	servers      int // servers is the number of canaries.
	failureRate  func(d *requestState) float64
	slowdown     func(d *requestState) float64 // slowdown multiplies the time of an answer.
	streams      bool
	mustComplete bool // mustComplete is set for good versions.
}

// requestState is the state that the outcome of an answer can depend on.
type requestState struct {
	at     time.Duration
	isNew  bool
	route  int
	server int
	share  float64
}

const (
	scenarioLimit = 12 * time.Second
	scenarioTick  = 100 * time.Millisecond
)

func noFailures(*requestState) float64  { return 0 }
func normalSpeed(*requestState) float64 { return 1 }

// scenarios returns bad versions with every known kind of fault, and good versions, some of
// them under faults that affect all versions.
func scenarios() []scenario {
	conditional := func(cond func(m *requestState) bool, yes, no float64) func(*requestState) float64 {
		return func(m *requestState) float64 {
			if cond(m) {
				return yes
			}
			return no
		}
	}
	newVersion := func(m *requestState) bool { return m.isNew }
	newVersionLate := func(m *requestState) bool { return m.isNew && m.at > 5*time.Second }
	newVersionLoaded := func(m *requestState) bool { return m.isNew && m.share > 0.1 }
	oneRoute := func(m *requestState) bool { return m.isNew && m.route == 1 }
	burst := func(m *requestState) bool { return m.at > 2*time.Second && m.at < 5*time.Second }
	oneServer := func(m *requestState) bool { return m.isNew && m.server == 0 }
	return []scenario{
		{name: "good", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: normalSpeed, streams: true, mustComplete: true},
		{name: "good, few requests", rate: 12, routes: 2, servers: 2, failureRate: noFailures, slowdown: normalSpeed, mustComplete: true},
		{name: "good, both fail 0.1", rate: 300, routes: 5, servers: 6, failureRate: conditional(func(*requestState) bool { return true }, 0.1, 0), slowdown: normalSpeed, streams: true, mustComplete: true},
		{name: "good, both fail 0.4 for 3 s", rate: 300, routes: 5, servers: 6, failureRate: conditional(burst, 0.4, 0), slowdown: normalSpeed, streams: true, mustComplete: true},
		{name: "good, both 5 times slower for 3 s", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: conditional(burst, 5, 1), streams: true, mustComplete: true},
		{name: "good, first events 1.6 times later", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: conditional(newVersion, 1.6, 1), streams: true, mustComplete: true},
		{name: "good, one of two servers fails 0.5", rate: 160, routes: 2, servers: 2, failureRate: conditional(oneServer, 0.5, 0), slowdown: normalSpeed, mustComplete: true},
		{name: "fails 0.3 at once", rate: 300, routes: 5, servers: 6, failureRate: conditional(newVersion, 0.3, 0), slowdown: normalSpeed, streams: true},
		{name: "fails 0.3 at once, few requests", rate: 12, routes: 2, servers: 2, failureRate: conditional(newVersion, 0.3, 0), slowdown: normalSpeed},
		{name: "fails 0.3, both 0.1", rate: 300, routes: 5, servers: 6, failureRate: conditional(newVersion, 0.3, 0.1), slowdown: normalSpeed, streams: true},
		{name: "fails 0.3 from 5 s on", rate: 300, routes: 5, servers: 6, failureRate: conditional(newVersionLate, 0.3, 0), slowdown: normalSpeed, streams: true},
		{name: "fails 0.3 under load", rate: 300, routes: 5, servers: 6, failureRate: conditional(newVersionLoaded, 0.3, 0), slowdown: normalSpeed, streams: true},
		{name: "fails 0.3 on one of 5 routes", rate: 300, routes: 5, servers: 6, failureRate: conditional(oneRoute, 0.3, 0), slowdown: normalSpeed, streams: true},
		{name: "fails 0.08 at once", rate: 300, routes: 5, servers: 6, failureRate: conditional(newVersion, 0.08, 0), slowdown: normalSpeed, streams: true},
		{name: "4 times slower at once", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: conditional(newVersion, 4, 1), streams: true},
		{name: "4 times slower, plain answers", rate: 160, routes: 2, servers: 2, failureRate: noFailures, slowdown: conditional(newVersion, 4, 1)},
		{name: "4 times slower from 5 s on", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: conditional(newVersionLate, 4, 1), streams: true},
		{name: "4 times slower on one of 5 routes", rate: 300, routes: 5, servers: 6, failureRate: noFailures, slowdown: conditional(oneRoute, 4, 1), streams: true},
	}
}

// outcome is the result of a simulated roll-out.
type outcome struct {
	stage   protocol.RolloutStage
	endedAt time.Duration
	bad     int64   // bad counts failed answers that callers got from the new version.
	share   float64 // share is the fraction of all requests that went to the new version.
	reason  string
}

// simulate runs a roll-out in a scenario. Reports from the gateways and grants to them take
// one tick each way.
func (d scenario) simulate(seed uint64, analyzer Analyzer) outcome {
	rnd := rand.New(rand.NewPCG(seed, seed))
	r := protocol.Rollout{Number: 1, Service: "s", Version: "v2", LimitMS: scenarioLimit.Milliseconds()}
	pool := NewPool(0.1, 50)
	var start time.Time
	var out outcome
	var arrived, tried, granted int64
	moved := time.Duration(0)
	for at := time.Duration(0); at < 2*scenarioLimit; at += scenarioTick {
		share := TrialShare(&r, at)
		rows := map[string]*protocol.EvidenceRow{}
		for range poisson(rnd, d.rate*scenarioTick.Seconds()) {
			arrived++
			m := requestState{at: at, route: rnd.IntN(d.routes), server: rnd.IntN(d.servers), share: share}
			m.isNew = r.Stage == protocol.RolloutMoving || (r.Stage == protocol.RolloutTrial && tried < granted)
			if m.isNew {
				tried++
			}
			a := d.answer(rnd, &m)
			if m.isNew && a.Failed {
				out.bad++
			}
			row := rowFor(rows, &m)
			RecordAnswer(&row.Answers, a)
		}
		analyzer.Observe(sortedRows(rows), start.Add(at))
		granted = pool.Grant(ReportMsg{Gateway: "g", Arrived: arrived, Tried: tried, Wants: int(d.rate), Share: share, Progress: TrialProgress(&r, at), CanGrant: true})
		tick := TickMsg{Elapsed: at, LeadingFor: at, Assessment: analyzer.Assessment(), Slots: 1000, InSync: true, IdleFor: at - moved - time.Second, MaxAnswerTime: 15 * time.Second, MovingFor: at - moved, OtherVersions: []string{"v1"}}
		step, ok := Next(&r, tick)
		if !ok {
			continue
		}
		r.Stage = step.Stage
		if r.Stage == protocol.RolloutMoving {
			moved = at
		}
		if r.Stage.Final() {
			out.stage, out.endedAt, out.reason, out.share = r.Stage, at, step.Reason, float64(tried)/float64(arrived)
			return out
		}
	}
	out.stage = r.Stage
	return out
}

// answer draws an answer. Times are log-normal, with less variance between the events of a
// stream than up to the first event.
func (d scenario) answer(rnd *rand.Rand, m *requestState) Answer {
	if rnd.Float64() < d.failureRate(m) {
		return Answer{Failed: true}
	}
	x := d.slowdown(m)
	a := Answer{FirstEvent: time.Duration(x * 80 * math.Exp(0.8*rnd.NormFloat64()) * float64(time.Millisecond))}
	if d.streams {
		a.EventInterval = time.Duration(x * 35 * math.Exp(0.25*rnd.NormFloat64()) * float64(time.Millisecond))
	}
	return a
}

func rowFor(rows map[string]*protocol.EvidenceRow, m *requestState) *protocol.EvidenceRow {
	row := protocol.EvidenceRow{Route: fmt.Sprint("r", m.route), New: m.isNew}
	if m.isNew {
		row.Server = fmt.Sprint("i", m.server)
	}
	key := fmt.Sprint(row.Route, row.Server)
	if rows[key] == nil {
		rows[key] = &row
	}
	return rows[key]
}

func sortedRows(rows map[string]*protocol.EvidenceRow) []protocol.EvidenceRow {
	var all []protocol.EvidenceRow
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		all = append(all, *rows[key])
	}
	return all
}

func poisson(rnd *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= rnd.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}
