package fleet

import "time"

// Offer is an instance class for sale in one failure domain.
type Offer struct {
	Domain string
	Class  string
	Market Market
	Hourly float64 // Hourly is the price per hour, in the platform's currency.
}

// Market is the way in which an instance is bought.
type Market string

// The markets.
const (
	// Reclaimable instances are cheap, but the platform may reclaim them on short
	// notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances run until they are given back.
	OnDemand Market = "on_demand"
)

// Instance is one engine, ready or starting.
type Instance struct {
	ID      string
	Domain  string
	Class   string
	Market  Market
	Hourly  float64
	Models  []string // Models are the loaded models; empty for a new instance.
	Ready   bool     // Ready is set when it reports its load.
	Leaving bool
	Running int // Running is the number of requests that it runs or queues.
}

// Class is a class of instances that can be bought.
type Class struct {
	Name   string
	Slots  int      // Slots is the number of concurrent requests that one instance runs within the latency target.
	Models []string // Models are the models that it can serve.
}

// Need is the current demand for one model.
type Need struct {
	Model string
	Slots int // Slots is the number of requests that run or wait.
	Floor int // Floor is the minimum number of slots to keep.
}

// Msg is a message to [Planner.Update].
type Msg interface{ msg() }

// ViewMsg is the leader's current view of instances, offers and demand.
type ViewMsg struct {
	Now       time.Time
	Instances []Instance
	Offers    []Offer
	Needs     []Need
	Classes   []Class
}

// StartedMsg reports that the platform started an instance.
type StartedMsg struct {
	Order uint64
	ID    string
	Now   time.Time
}

// RefusedMsg reports that the platform did not start an instance. Lost is set when
// its answer was lost, so that the instance may start nevertheless.
type RefusedMsg struct {
	Order uint64
	Lost  bool
	Now   time.Time
}

func (ViewMsg) msg()    {}
func (StartedMsg) msg() {}
func (RefusedMsg) msg() {}

// Cmd is a command from [Planner.Update].
type Cmd interface{ cmd() }

// StartCmd buys an instance for a model.
type StartCmd struct {
	Order  uint64 // Order identifies the purchase, which makes a resend idempotent.
	Domain string
	Class  string
	Market Market
	Model  string
}

// LoadCmd asks an instance to load a model's weights.
type LoadCmd struct {
	ID      string
	Model   string
	Replace bool // Replace is set when the instance has to unload its current model.
}

// DrainCmd stops sending new work to an instance and moves its requests away.
type DrainCmd struct{ ID string }

// GiveBackCmd returns a drained instance to the platform.
type GiveBackCmd struct{ ID string }

func (StartCmd) cmd()    {}
func (LoadCmd) cmd()     {}
func (DrainCmd) cmd()    {}
func (GiveBackCmd) cmd() {}
