package transport

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

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

// pollWorkers bounds the load reports that are asked for at once.
const pollWorkers = 16

// Poller reads the platform's list and notices and the backend servers' load
// reports into the tables.
type Poller struct {
	settings *settings.Settings
	tables   *state.Tables
	log      zerolog.Logger
	wires    *wires
	leaving  func(protocol.Leaving)
	entry    func(protocol.Notice)
	listed   atomic.Bool // listed says that the platform's list was read.
	loaded   atomic.Bool // loaded says that the listed servers were asked for their load.
	after    uint64      // after is the sequence of the last notice.
}

// NewPoller returns a poller. The func leaving is told of each backend server
// that a notice names; the func entry of each notice that names this instance.
func NewPoller(s *settings.Settings, t *state.Tables, log zerolog.Logger, leaving func(protocol.Leaving), entry func(protocol.Notice)) *Poller {
	return &Poller{settings: s, tables: t, log: log, wires: newWires(s.Timeouts.Dial), leaving: leaving, entry: entry}
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

// RunList reads the list until ctx ends.
func (p *Poller) RunList(ctx context.Context) error {
	return every(ctx, p.settings.Platform.Poll, func() { p.note("list", p.readList()) })
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

// get reads one JSON answer of the platform or of a backend server.
func (p *Poller) get(address, path string, timeout time.Duration, dst any) error {
	status, body, err := p.wires.call(address, http.MethodGet, path, nil, timeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("%s answered %d", path, status)
	}
	return eris.Wrap(json.Unmarshal(body, dst), "parse answer")
}

func (p *Poller) readList() error {
	var list protocol.InstanceList
	if err := p.get(p.settings.Platform.Address, "/v1/instances", p.settings.Timeouts.Dial+p.settings.Platform.Poll, &list); err != nil {
		return err
	}
	p.tables.Backends.SetList(list.Instances, time.Now())
	p.listed.Store(true)
	return nil
}

func (p *Poller) readNotices() error {
	var list protocol.NoticeList
	path := "/v1/notices?after=" + strconv.FormatUint(p.after, 10)
	if err := p.get(p.settings.Platform.Address, path, p.settings.Timeouts.Dial+p.settings.Platform.NoticePoll, &list); err != nil {
		return err
	}
	for _, n := range list.Notices {
		p.after = max(p.after, n.Sequence)
		if n.Instance == p.settings.Name {
			p.entry(n)
			continue
		}
		p.leaving(protocol.Leaving{Server: n.Instance, At: n.At, Origin: "notice"})
	}
	return nil
}

// readLoads asks all servers for their load, a bounded number at once.
func (p *Poller) readLoads() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	listed := p.listed.Load()
	view := p.tables.Backends.View()
	rows := make([]state.ReportRow, len(view.Servers))
	for i := range view.Servers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[i] = p.readLoad(&view.Servers[i])
		})
	}
	wg.Wait()
	p.tables.Backends.SetReports(rows)
	if listed {
		p.loaded.Store(true)
	}
}

func (p *Poller) readLoad(s *state.Server) state.ReportRow {
	row := state.ReportRow{Server: s.ID}
	if err := p.get(s.Address, "/load", p.settings.Timeouts.Dial, &row.Report); err != nil {
		row.Failed = true
		return row
	}
	row.At = time.Now()
	if row.Report.Leaving && !s.Leaving {
		p.leaving(protocol.Leaving{Server: s.ID, Origin: "report"})
	}
	return row
}
