package fleet

import "time"

// Offer is what the platform sells in one failure domain.
type Offer struct {
	Domain string
	Class  string
	Market Market
	Hourly float64 // Hourly is the price an hour, in the platform's currency.
}

// Market tells the two ways of buying an instance apart.
type Market string

// The markets.
const (
	// Reclaimable instances are cheap, and may be taken back on short notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances stay until they are given back.
	OnDemand Market = "on_demand"
)

// Instance is one engine, ready or on its way.
type Instance struct {
	ID      string
	Domain  string
	Class   string
	Market  Market
	Hourly  float64
	Models  []string // Models are what it has loaded; empty for one that is fresh.
	Ready   bool     // Ready says that it reports its load.
	Leaving bool
	Running int // Running are the requests that it has.
}

// Class is a kind of instance that may be bought.
type Class struct {
	Name   string
	Slots  int      // Slots are the requests that one runs within the latency target.
	Models []string // Models are those that it can serve.
}

// Need is what one model is asked for now.
type Need struct {
	Model string
	Slots int // Slots are the requests that run or wait.
	Floor int // Floor is what is kept at the least.
}

// Msg is a message to [Planner.Update].
type Msg interface{ msg() }

// ViewMsg is what the leader sees now.
type ViewMsg struct {
	Now       time.Time
	Instances []Instance
	Offers    []Offer
	Needs     []Need
	Classes   []Class
}

// StartedMsg tells that the platform started an instance.
type StartedMsg struct {
	Order uint64
	ID    string
	Now   time.Time
}

// RefusedMsg tells that the platform did not. Lost says that its answer was
// lost, so that the instance may come up all the same.
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
	Order  uint64 // Order names the purchase, so that a second send buys nothing.
	Domain string
	Class  string
	Market Market
	Model  string
}

// LoadCmd has an instance load a model's weights.
type LoadCmd struct {
	ID      string
	Model   string
	Replace bool // Turn says that the instance gives up what it has loaded.
}

// DrainCmd has an instance get no new work, and its requests moved.
type DrainCmd struct{ ID string }

// GiveBackCmd gives an instance back that has nothing left to do.
type GiveBackCmd struct{ ID string }

func (StartCmd) cmd()    {}
func (LoadCmd) cmd()     {}
func (DrainCmd) cmd()    {}
func (GiveBackCmd) cmd() {}
