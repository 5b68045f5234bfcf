package transport

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/poll"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// Why an instance is not ready at first.
var (
	errNoList = errors.New("the platform's list has not been read yet")
	errNoLoad = errors.New("the backend servers have not been asked for their load yet")
)

// firstLoad is between two looks for the first list of servers to ask.
const firstLoad = 20 * time.Millisecond

const (
	// listRate is how many bytes a second the reads of the platform's list may
	// take up.
	listRate = 2000.0
	// listTimeout bounds one read.
	listTimeout = 5 * time.Second
)

// pollWorkers bounds the load reports that are asked for at once.
const pollWorkers = 16

// Poller reads the platform's list and notices and the backend servers' load
// reports into the tables.
type Poller struct {
	settings *settings.Settings
	tables   *state.Tables
	log      zerolog.Logger
	wires    *wires
	events   PollerEvents
	listed   atomic.Bool // listed says that the platform's list was read.
	loaded   atomic.Bool // loaded says that the listed servers were asked for their load.
	after    uint64      // after is the sequence of the last notice.
}

// PollerEvents are told of what a poller finds, so that the other instances
// learn it without reading it themselves.
type PollerEvents struct {
	Leaving func(protocol.Leaving)  // Leaving is told of backend servers that will go.
	Joined  func(protocol.Instance) // Joined is told of backend servers that are new in the list.
	Entry   func(protocol.Notice)   // Entry is told of notices that name this instance.
}

// NewPoller returns a poller that is not running.
func NewPoller(s *settings.Settings, t *state.Tables, log zerolog.Logger, events PollerEvents) *Poller {
	return &Poller{settings: s, tables: t, log: log, wires: newWires(s.Timeouts.Dial), events: events}
}

// Meter shows the bytes of polling among the meters.
func (p *Poller) Meter(r metrics.Registry) { p.wires.meter.register("polls", r) }

// Ready returns nil once the platform's list was read and the servers on it
// were asked for their load. Before that nothing is known to route to.
func (p *Poller) Ready() error {
	switch {
	case !p.listed.Load():
		return errNoList
	case !p.loaded.Load():
		return errNoLoad
	}
	return nil
}

// RunList reads the list until ctx ends, the more seldom the longer it is.
func (p *Poller) RunList(ctx context.Context) error {
	for {
		size, err := p.readList()
		p.note("list", err)
		timer := time.NewTimer(listInterval(p.settings.Platform.Poll, size))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// listInterval is the time between two reads of a list of so many bytes, which
// keeps them within listRate. Each instance draws its own, so that together
// they read it much more often than each of them; what one finds, it tells the
// others.
func listInterval(least time.Duration, size int) time.Duration {
	d := max(least, time.Duration(float64(size)/listRate*float64(time.Second)))
	return d*3/4 + rand.N(d/2)
}

// RunNotices reads the notices until ctx ends.
func (p *Poller) RunNotices(ctx context.Context) error {
	return every(ctx, p.settings.Platform.NoticePoll, func() { p.note("notices", p.readNotices()) })
}

// RunLoad reads the load reports until ctx ends.
func (p *Poller) RunLoad(ctx context.Context) error {
	for !p.loaded.Load() { // At the start, as soon as there is a list.
		p.readLoads()
		select {
		case <-time.After(firstLoad):
		case <-ctx.Done():
			return nil
		}
	}
	return every(ctx, p.settings.Timeouts.LoadPoll, p.readLoads)
}

func every(ctx context.Context, d time.Duration, do func()) error {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		do()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Poller) note(what string, err error) {
	if err != nil {
		p.log.Warn().Err(err).Str("what", what).Msg("the platform could not be read")
	}
}

// get reads one JSON answer of the platform or of a backend server, and returns
// its size in bytes.
func (p *Poller) get(address, path string, timeout time.Duration, dst any) (size int, err error) {
	status, body, err := p.wires.call(address, http.MethodGet, path, nil, timeout)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, eris.Errorf("%s answered %d", path, status)
	}
	return len(body), eris.Wrap(json.Unmarshal(body, dst), "parse answer")
}

// readList reads the list and spreads what is new in it. It returns its size
// in bytes.
func (p *Poller) readList() (size int, err error) {
	var list protocol.InstanceList
	size, err = p.get(p.settings.Platform.Address, "/v1/instances", p.settings.Timeouts.Dial+listTimeout, &list)
	if err != nil {
		return 0, err
	}
	old := p.tables.Backends.View()
	p.tables.Backends.SetList(list.Instances, clock.Now())
	if !p.listed.Swap(true) {
		return size, nil // At the start all of it is new here, and nothing to the others.
	}
	for _, in := range list.Instances {
		known := old.Find(in.ID)
		switch {
		case in.Kind == protocol.InstanceEntry:
		case known == nil:
			p.events.Joined(in)
		case in.Leaving && !known.Leaving:
			p.events.Leaving(protocol.Leaving{Server: in.ID, Origin: "list"})
		}
	}
	return size, nil
}

func (p *Poller) readNotices() error {
	var list protocol.NoticeList
	path := "/v1/notices?after=" + strconv.FormatUint(p.after, 10)
	if _, err := p.get(p.settings.Platform.Address, path, p.settings.Timeouts.Dial+p.settings.Platform.NoticePoll, &list); err != nil {
		return err
	}
	for _, n := range list.Notices {
		p.after = max(p.after, n.Sequence)
		if n.Instance == p.settings.Name {
			p.events.Entry(n)
			continue
		}
		p.events.Leaving(protocol.Leaving{Server: n.Instance, At: n.At, Origin: "notice"})
	}
	return nil
}

// readLoads asks the servers that the plan names for their load, a bounded
// number at once.
func (p *Poller) readLoads() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	listed := p.listed.Load()
	view := p.tables.Backends.View()
	plan := poll.Plan(view, p.perRound())
	if !p.loaded.Load() {
		plan = poll.Plan(view, len(view.Servers)) // At the start all of them are asked.
	}
	rows := make([]state.ReportRow, len(plan))
	for k, i := range plan {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[k] = p.readLoad(&view.Servers[i])
		})
	}
	wg.Wait()
	p.tables.Backends.SetReports(rows)
	if listed {
		p.loaded.Store(true)
	}
}

// perRound is how many servers one round asks.
func (p *Poller) perRound() int {
	return max(1, int(float64(p.settings.Limits.LoadReads)*p.settings.Timeouts.LoadPoll.Seconds()))
}

func (p *Poller) readLoad(s *state.Server) state.ReportRow {
	row := state.ReportRow{Server: s.ID, At: clock.Now()}
	if _, err := p.get(s.Address, "/load", p.settings.Timeouts.Dial, &row.Report); err != nil {
		row.Failed = true
		return row
	}
	row.At = clock.Now()
	if row.Report.Leaving && !s.Leaving {
		p.events.Leaving(protocol.Leaving{Server: s.ID, Origin: "report"})
	}
	return row
}
