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

// Reasons why an instance is not ready after its start.
var (
	errNoList = errors.New("the platform's list has not been read yet")
	errNoLoad = errors.New("the backend servers have not been asked for their load yet")
)

// firstLoadInterval is the interval at which the first load reads are tried until
// the server list is available.
const firstLoadInterval = 20 * time.Millisecond

const (
	// maxListBytesPerSecond limits the bandwidth for reads of the platform's list.
	maxListBytesPerSecond = 2000.0
	// listTimeout limits one read.
	listTimeout = 5 * time.Second
)

// pollWorkers limits concurrent reads of load reports.
const pollWorkers = 16

// Poller reads the platform's instance list and notices and the backend servers'
// load reports into the tables.
type Poller struct {
	settings   *settings.Settings
	tables     *state.Tables
	log        zerolog.Logger
	pool       *connPool
	events     PollerEvents
	listed     atomic.Bool // listed is set once the platform's list has been read.
	loaded     atomic.Bool // loaded is set once the listed servers have been polled for their load.
	lastNotice uint64      // lastNotice is the sequence number of the last notice.
}

// PollerEvents holds the callbacks for what a poller finds, so that the other
// instances learn of it without polling themselves.
type PollerEvents struct {
	Leaving func(protocol.Leaving)  // Leaving is called for backend servers that will leave.
	Joined  func(protocol.Instance) // Joined is called for backend servers new in the list.
	Entry   func(protocol.Notice)   // Entry is called for notices about this instance.
}

// NewPoller returns a poller that is not running.
func NewPoller(s *settings.Settings, t *state.Tables, log zerolog.Logger, events PollerEvents) *Poller {
	return &Poller{settings: s, tables: t, log: log, pool: newConnPool(s.Timeouts.Dial), events: events}
}

// Meter registers metrics of the bytes of polling.
func (p *Poller) Meter(r metrics.Registry) { p.pool.meter.register("polls", r) }

// Ready returns nil once the platform's list has been read and the servers on it
// have been polled for their load. Until then there is no basis for routing.
func (p *Poller) Ready() error {
	switch {
	case !p.listed.Load():
		return errNoList
	case !p.loaded.Load():
		return errNoLoad
	}
	return nil
}

// RunList reads the list until ctx ends, less often the longer it is.
func (p *Poller) RunList(ctx context.Context) error {
	for {
		size, err := p.readList()
		p.logError("list", err)
		timer := time.NewTimer(listInterval(p.settings.Platform.Poll, size))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// listInterval returns the time until the next read of a list of the given size,
// which keeps the reads within maxListBytesPerSecond. Each instance adds its own
// jitter, so that the reads of all instances are spread out; what one instance
// finds, it announces to the others.
func listInterval(minInterval time.Duration, size int) time.Duration {
	d := max(minInterval, time.Duration(float64(size)/maxListBytesPerSecond*float64(time.Second)))
	return d*3/4 + rand.N(d/2)
}

// RunNotices reads the notices until ctx ends.
func (p *Poller) RunNotices(ctx context.Context) error {
	return runEvery(ctx, p.settings.Platform.NoticePoll, func() { p.logError("notices", p.readNotices()) })
}

// RunLoad reads the load reports until ctx ends.
func (p *Poller) RunLoad(ctx context.Context) error {
	for !p.loaded.Load() { // Read the first loads as soon as the list is available.
		p.readLoads()
		select {
		case <-time.After(firstLoadInterval):
		case <-ctx.Done():
			return nil
		}
	}
	return runEvery(ctx, p.settings.Timeouts.LoadPoll, p.readLoads)
}

func runEvery(ctx context.Context, d time.Duration, do func()) error {
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

func (p *Poller) logError(what string, err error) {
	if err != nil {
		p.log.Warn().Err(err).Str("what", what).Msg("reading from the platform failed")
	}
}

// get reads one JSON response of the platform or of a backend server, and returns
// its size in bytes.
func (p *Poller) get(address, path string, timeout time.Duration, dst any) (size int, err error) {
	status, body, err := p.pool.call(address, http.MethodGet, path, nil, timeout)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, eris.Errorf("%s answered %d", path, status)
	}
	return len(body), eris.Wrap(json.Unmarshal(body, dst), "parse answer")
}

// readList reads the list and announces what is new in it. It returns the list's
// size in bytes.
func (p *Poller) readList() (size int, err error) {
	var list protocol.InstanceList
	size, err = p.get(p.settings.Platform.Address, "/v1/instances", p.settings.Timeouts.Dial+listTimeout, &list)
	if err != nil {
		return 0, err
	}
	old := p.tables.Backends.View()
	p.tables.Backends.SetList(list.Instances, clock.Now())
	if !p.listed.Swap(true) {
		return size, nil // The first list is new only to this instance.
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
	path := "/v1/notices?after=" + strconv.FormatUint(p.lastNotice, 10)
	if _, err := p.get(p.settings.Platform.Address, path, p.settings.Timeouts.Dial+p.settings.Platform.NoticePoll, &list); err != nil {
		return err
	}
	for _, n := range list.Notices {
		p.lastNotice = max(p.lastNotice, n.Sequence)
		if n.Instance == p.settings.Name {
			p.events.Entry(n)
			continue
		}
		p.events.Leaving(protocol.Leaving{Server: n.Instance, At: n.At, Origin: "notice"})
	}
	return nil
}

// readLoads reads the load reports of the planned servers, up to pollWorkers at a
// time.
func (p *Poller) readLoads() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	listed := p.listed.Load()
	view := p.tables.Backends.View()
	plan := poll.Plan(view, p.perRound())
	if !p.loaded.Load() {
		plan = poll.Plan(view, len(view.Servers)) // The first round asks all servers.
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

// perRound returns how many servers are asked in one round.
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
