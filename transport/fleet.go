package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/fleet"
	"github.com/weldstream/weldstream/coordination/order"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

const (
	fleetInterval = time.Second
	priceInterval = 10 * time.Second
	fleetTimeout  = 5 * time.Second
)

// Fleet executes the leader's purchases of instances. It is active only while this
// instance leads. A planner lives for one term, since its knowledge of its own
// orders is stale after another leader has given some.
type Fleet struct {
	settings  *settings.Settings
	commander *Commander
	tables    *state.Tables
	limits    *Limits
	leaving   func(protocol.Leaving)
	pool      *connPool
	log       zerolog.Logger

	planner      *fleet.Planner
	term         uint64
	policy       protocol.Fleet // policy is the policy of the current planner.
	prices       []protocol.Price
	pricesReadAt time.Time
	refused      map[protocol.Price]bool // refused holds the offers that were refused in this round.
}

// NewFleet returns a fleet that is not running. It sends its orders through the
// commander, which also knows whether this instance leads. The function leaving
// announces that a server gets no new work.
func NewFleet(s *settings.Settings, c *Commander, t *state.Tables, l *Limits, leaving func(protocol.Leaving), log zerolog.Logger) *Fleet {
	return &Fleet{settings: s, commander: c, tables: t, limits: l, leaving: leaving, pool: newConnPool(s.Timeouts.Dial), log: log}
}

// Run plans and buys instances until ctx ends.
func (f *Fleet) Run(ctx context.Context) error { return runEvery(ctx, fleetInterval, f.round) }

func (f *Fleet) round() {
	term, ok := f.commander.leads.Leads()
	ix := f.tables.Index()
	if !ok || ix == nil || ix.Config.Fleet == nil {
		f.planner = nil
		return
	}
	f.updatePlanner(term, *ix.Config.Fleet)
	if err := f.readPrices(); err != nil {
		f.log.Warn().Err(err).Msg("reading the platform's prices failed")
		return
	}
	v, err := f.view(ix)
	if err != nil {
		f.log.Warn().Err(err).Msg("reading the demand for slots failed")
		return
	}
	f.refused = map[protocol.Price]bool{}
	for _, cmd := range f.planner.Update(v) {
		f.execute(cmd)
	}
}

// updatePlanner creates a planner for a new term or a changed policy.
func (f *Fleet) updatePlanner(term uint64, policy protocol.Fleet) {
	same := policy.OnDemand == f.policy.OnDemand && policy.HeadroomPercent == f.policy.HeadroomPercent && policy.MaxInstances == f.policy.MaxInstances
	if f.planner != nil && f.term == term && same {
		return
	}
	cfg := fleet.DefaultConfig()
	cfg.Headroom = float64(policy.HeadroomPercent) / 100
	cfg.OnDemand, cfg.MaxInstances = policy.OnDemand, policy.MaxInstances
	cfg.Settle, cfg.Surplus = f.settings.Fleet.Settle, f.settings.Fleet.Surplus
	f.planner, f.term, f.policy = fleet.New(cfg), term, policy
}

func (f *Fleet) readPrices() error {
	if clock.Since(f.pricesReadAt) < priceInterval {
		return nil
	}
	status, body, err := f.pool.call(f.settings.Platform.Address, http.MethodGet, "/v1/prices", nil, fleetTimeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("the platform answered %d", status)
	}
	var prices []protocol.Price
	if err := json.Unmarshal(body, &prices); err != nil {
		return eris.Wrap(err, "parse prices")
	}
	f.prices, f.pricesReadAt = prices, clock.Now()
	return nil
}

// view returns the leader's current view of offers, demand and instances.
func (f *Fleet) view(ix *state.Index) (fleet.ViewMsg, error) {
	v := fleet.ViewMsg{Now: clock.Now()}
	for _, p := range f.prices {
		v.Offers = append(v.Offers, fleet.Offer{Domain: p.Domain, Class: p.Class, Market: fleet.Market(p.Market), Hourly: p.Hourly})
	}
	for _, c := range ix.Config.Fleet.Classes {
		v.Classes = append(v.Classes, fleet.Class{Name: c.Name, Slots: c.Slots, Models: c.Models})
	}
	for _, m := range ix.Config.Models {
		wanted, err := f.limits.TotalDemand(m.Name)
		if err != nil {
			return v, err
		}
		// Every declared model keeps at least one slot: a model that no server
		// offers would get no requests, and so no demand.
		v.Needs = append(v.Needs, fleet.Need{Model: m.Name, Slots: wanted, Floor: max(1, m.MinSlots)})
	}
	servers := f.tables.Backends.View().Servers
	for i := range servers {
		if servers[i].Kind == protocol.InstanceEngine {
			v.Instances = append(v.Instances, f.instance(&servers[i]))
		}
	}
	return v, nil
}

func (f *Fleet) instance(s *state.Server) fleet.Instance {
	in := fleet.Instance{
		ID:      s.ID,
		Domain:  s.Domain,
		Class:   s.Class,
		Market:  fleet.Market(s.Market),
		Models:  s.Report.Models,
		Ready:   !s.ReportAt.IsZero() && !s.Silent(),
		Leaving: s.Leaving,
		Running: s.Report.Running + s.Report.Waiting + int(s.Counters.Outstanding.Load()),
	}
	for _, p := range f.prices {
		if p.Domain == s.Domain && p.Class == s.Class && p.Market == s.Market {
			in.Hourly = p.Hourly
		}
	}
	return in
}

func (f *Fleet) execute(cmd fleet.Cmd) {
	if term, ok := f.commander.leads.Leads(); !ok || term != f.term {
		return
	}
	var err error
	switch cmd := cmd.(type) {
	case fleet.StartCmd:
		f.start(cmd)
	case fleet.LoadCmd:
		err = f.load(cmd)
	case fleet.DrainCmd:
		f.log.Info().Str("server", cmd.ID).Msg("draining an instance that is no longer needed")
		f.leaving(protocol.Leaving{Server: cmd.ID, Origin: "given up"})
	case fleet.GiveBackCmd:
		err = f.terminate(cmd.ID)
	}
	if err != nil {
		f.log.Warn().Err(err).Type("order", cmd).Msg("fleet order failed")
	}
}

// start buys an instance. An offer refused earlier in this round is not tried
// again, since all orders of a round were planned together.
func (f *Fleet) start(cmd fleet.StartCmd) {
	offer := protocol.Price{Domain: cmd.Domain, Class: cmd.Class, Market: string(cmd.Market)}
	refused := fleet.RefusedMsg{Order: cmd.Order, Now: clock.Now()}
	if f.refused[offer] {
		f.planner.Update(refused)
		return
	}
	body, err := json.Marshal(protocol.StartOrder{
		Order:  fmt.Sprintf("%s-%d-%d", f.settings.Name, f.term, cmd.Order),
		Domain: cmd.Domain,
		Class:  cmd.Class,
		Market: string(cmd.Market),
	})
	if err != nil {
		return // Cannot happen: a StartOrder has only string fields.
	}
	status, answer, err := f.pool.call(f.settings.Platform.Address, http.MethodPost, "/v1/instances", body, fleetTimeout)
	var in protocol.Instance
	log := f.log.Info().Str("domain", cmd.Domain).Str("class", cmd.Class).Str("market", string(cmd.Market)).Str("model", cmd.Model)
	switch {
	case err == nil && status == http.StatusCreated && json.Unmarshal(answer, &in) == nil:
		f.planner.Update(fleet.StartedMsg{Order: cmd.Order, ID: in.ID, Now: clock.Now()})
		log.Str("server", in.ID).Msg("instance bought")
	case err == nil && status >= 400 && status < 500:
		f.refused[offer] = true
		f.planner.Update(refused)
		log.Int("status", status).Msg("start refused")
	default:
		refused.Lost = true
		f.planner.Update(refused)
		log.Int("status", status).Err(err).Msg("outcome of an instance start is unknown")
	}
}

// load orders an engine to load a model, as a fenced order.
func (f *Fleet) load(cmd fleet.LoadCmd) error {
	s := f.tables.Backends.View().Find(cmd.ID)
	if s == nil || slices.Contains(s.Report.Models, cmd.Model) {
		return nil
	}
	kind := protocol.OrderLoadModel
	if cmd.Replace {
		kind = protocol.OrderRole
	}
	return f.commander.sendIfSettled(f.term, order.Order{Server: s.ID, Address: s.Address, Kind: kind, Name: cmd.Model})
}

func (f *Fleet) terminate(id string) error {
	status, _, err := f.pool.call(f.settings.Platform.Address, http.MethodDelete, "/v1/instances/"+id, nil, fleetTimeout)
	if err != nil {
		return err
	}
	if status >= 300 && status != http.StatusNotFound {
		return eris.Errorf("the platform answered %d", status)
	}
	f.log.Info().Str("server", id).Msg("instance terminated")
	return nil
}
