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

// day is a made load on a service during a roll-out, tick by tick.
type day struct {
	name    string
	rate    float64 // rate is in requests a second.
	routes  int
	servers int // servers of the new version that the trial goes to.
	fails   func(d *moment) float64
	slows   func(d *moment) float64 // slows is by how many times an answer takes longer.
	streams bool
	good    bool // good says that the version must be completed.
}

// moment is what an answer's fate may hang on.
type moment struct {
	at     time.Duration
	isNew  bool
	route  int
	server int
	share  float64
}

const (
	dayLimit = 12 * time.Second
	dayTick  = 100 * time.Millisecond
)

func never(*moment) float64 { return 0 }
func once(*moment) float64  { return 1 }

// days are versions that are bad in each way that is known, and good ones beside
// whatever ails both sides.
func days() []day {
	when := func(cond func(m *moment) bool, yes, no float64) func(*moment) float64 {
		return func(m *moment) float64 {
			if cond(m) {
				return yes
			}
			return no
		}
	}
	bad := func(m *moment) bool { return m.isNew }
	late := func(m *moment) bool { return m.isNew && m.at > 5*time.Second }
	loaded := func(m *moment) bool { return m.isNew && m.share > 0.1 }
	oneRoute := func(m *moment) bool { return m.isNew && m.route == 1 }
	burst := func(m *moment) bool { return m.at > 2*time.Second && m.at < 5*time.Second }
	oneServer := func(m *moment) bool { return m.isNew && m.server == 0 }
	return []day{
		{name: "good", rate: 300, routes: 5, servers: 6, fails: never, slows: once, streams: true, good: true},
		{name: "good, few requests", rate: 12, routes: 2, servers: 2, fails: never, slows: once, good: true},
		{name: "good, both fail 0.1", rate: 300, routes: 5, servers: 6, fails: when(func(*moment) bool { return true }, 0.1, 0), slows: once, streams: true, good: true},
		{name: "good, both fail 0.4 for 3 s", rate: 300, routes: 5, servers: 6, fails: when(burst, 0.4, 0), slows: once, streams: true, good: true},
		{name: "good, both 5 times slower for 3 s", rate: 300, routes: 5, servers: 6, fails: never, slows: when(burst, 5, 1), streams: true, good: true},
		{name: "good, first events 1.6 times later", rate: 300, routes: 5, servers: 6, fails: never, slows: when(bad, 1.6, 1), streams: true, good: true},
		{name: "good, one of two servers fails 0.5", rate: 160, routes: 2, servers: 2, fails: when(oneServer, 0.5, 0), slows: once, good: true},
		{name: "fails 0.3 at once", rate: 300, routes: 5, servers: 6, fails: when(bad, 0.3, 0), slows: once, streams: true},
		{name: "fails 0.3 at once, few requests", rate: 12, routes: 2, servers: 2, fails: when(bad, 0.3, 0), slows: once},
		{name: "fails 0.3, both 0.1", rate: 300, routes: 5, servers: 6, fails: when(bad, 0.3, 0.1), slows: once, streams: true},
		{name: "fails 0.3 from 5 s on", rate: 300, routes: 5, servers: 6, fails: when(late, 0.3, 0), slows: once, streams: true},
		{name: "fails 0.3 under load", rate: 300, routes: 5, servers: 6, fails: when(loaded, 0.3, 0), slows: once, streams: true},
		{name: "fails 0.3 on one of 5 routes", rate: 300, routes: 5, servers: 6, fails: when(oneRoute, 0.3, 0), slows: once, streams: true},
		{name: "fails 0.08 at once", rate: 300, routes: 5, servers: 6, fails: when(bad, 0.08, 0), slows: once, streams: true},
		{name: "4 times slower at once", rate: 300, routes: 5, servers: 6, fails: never, slows: when(bad, 4, 1), streams: true},
		{name: "4 times slower, plain answers", rate: 160, routes: 2, servers: 2, fails: never, slows: when(bad, 4, 1)},
		{name: "4 times slower from 5 s on", rate: 300, routes: 5, servers: 6, fails: never, slows: when(late, 4, 1), streams: true},
		{name: "4 times slower on one of 5 routes", rate: 300, routes: 5, servers: 6, fails: never, slows: when(oneRoute, 4, 1), streams: true},
	}
}

// outcome is how a roll-out of a day went.
type outcome struct {
	stage  protocol.RolloutStage
	at     time.Duration
	bad    int64   // bad answers that callers got from the new version.
	share  float64 // share is the part of all requests that went to it until the end.
	reason string
}

// play runs a roll-out on a day with an analyzer. The reports of gateways and the orders
// to them take one tick each way.
func (d day) play(seed uint64, j Analyzer) outcome {
	rnd := rand.New(rand.NewPCG(seed, seed))
	r := protocol.Rollout{Number: 1, Service: "s", Version: "v2", LimitMS: dayLimit.Milliseconds()}
	pool := NewPool(0.1, 50)
	var start time.Time
	var out outcome
	var arrived, tried, granted int64
	moved := time.Duration(0)
	for at := time.Duration(0); at < 2*dayLimit; at += dayTick {
		share := TrialShare(&r, at)
		rows := map[string]*protocol.EvidenceRow{}
		for range poisson(rnd, d.rate*dayTick.Seconds()) {
			arrived++
			m := moment{at: at, route: rnd.IntN(d.routes), server: rnd.IntN(d.servers), share: share}
			m.isNew = r.Stage == protocol.RolloutMoving || (r.Stage == protocol.RolloutTrial && tried < granted)
			if m.isNew {
				tried++
			}
			a := d.answer(rnd, &m)
			if m.isNew && a.Failed {
				out.bad++
			}
			row := rowOf(rows, &m)
			RecordAnswer(&row.Answers, a)
		}
		j.Observe(list(rows), start.Add(at))
		granted = pool.Grant(ReportMsg{Gateway: "g", Arrived: arrived, Tried: tried, Wants: int(d.rate), Share: share, Progress: TrialProgress(&r, at), CanGrant: true})
		tick := TickMsg{Elapsed: at, LeadingFor: at, Assessment: j.Assessment(), Slots: 1000, InSync: true, IdleFor: at - moved - time.Second, MaxAnswerTime: 15 * time.Second, MovingFor: at - moved, OtherVersions: []string{"v1"}}
		step, ok := Next(&r, tick)
		if !ok {
			continue
		}
		r.Stage = step.Stage
		if r.Stage == protocol.RolloutMoving {
			moved = at
		}
		if r.Stage.Final() {
			out.stage, out.at, out.reason, out.share = r.Stage, at, step.Reason, float64(tried)/float64(arrived)
			return out
		}
	}
	out.stage = r.Stage
	return out
}

// answer draws an answer: times are log-normal, those of streams by their first event
// and, with less spread, their pace.
func (d day) answer(rnd *rand.Rand, m *moment) Answer {
	if rnd.Float64() < d.fails(m) {
		return Answer{Failed: true}
	}
	x := d.slows(m)
	a := Answer{FirstEvent: time.Duration(x * 80 * math.Exp(0.8*rnd.NormFloat64()) * float64(time.Millisecond))}
	if d.streams {
		a.EventInterval = time.Duration(x * 35 * math.Exp(0.25*rnd.NormFloat64()) * float64(time.Millisecond))
	}
	return a
}

func rowOf(rows map[string]*protocol.EvidenceRow, m *moment) *protocol.EvidenceRow {
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

func list(rows map[string]*protocol.EvidenceRow) []protocol.EvidenceRow {
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
