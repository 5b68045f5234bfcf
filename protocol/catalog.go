package protocol

import "time"

// Catalog is what gateways serve by when callers address routes by host and
// path: one accepted document, translated and checked. It is immutable.
type Catalog struct {
	Number     uint64
	Routes     []PathRoute
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	Edge       EdgeLimits
}

// RouteKind says how often a request of a route may run.
type RouteKind uint8

// The kinds of routes.
const (
	RouteOnce       RouteKind = iota // RouteOnce runs a request at most once.
	RouteRepeatable                  // RouteRepeatable may run a request again.
	RouteStream                      // RouteStream answers with events, at most once unless it can be resumed.
)

// PathRoute maps a host and a path prefix to services.
type PathRoute struct {
	Name      string
	Host      string
	Prefix    string // Prefix begins and ends with a slash.
	Kind      RouteKind
	Timeout   time.Duration     // Timeout is the longest that a request is held.
	Target    time.Duration     // Target is when an answer, or its first event, is in time.
	TargetGap time.Duration     // TargetGap is the longest pause between events in time.
	Priority  int               // Priority is the rank, 0 first.
	Split     []WeightedService // Split is never empty and weighs more than 0 in all.
	Attempts  int               // Attempts bounds the servers that one request is sent to.
	Open      bool              // Open routes need no workspace key.
	Affinity  bool              // Affinity keeps requests with the same prompt prefix together.
	Resumable bool              // Resumable streams may go on at another server.
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *PathRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// ServiceSpec is a service as operators declare it.
type ServiceSpec struct {
	Name        string
	Connections int          // Connections bounds those that one server takes from all gateways; 0 means no bound.
	Slots       int          // Slots are the requests that one server runs at once; 0 where the list tells.
	CopyRate    float64      // CopyRate is how many tokens of a prompt a millisecond one server copies from another that has read them; 0 where none can.
	Scaling     *ScalingSpec // Scaling is nil where the number of servers is not ours to order.
}

// ScalingSpec bounds the number of a service's servers in each failure domain.
type ScalingSpec struct {
	Min, Max     int
	DomainPrices map[string]float64 // DomainPrices are what a server costs a second, by failure domain.
}

// WorkspaceSpec is a workspace with its keys and its quota.
type WorkspaceSpec struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool    // HasPriority says that Priority goes before the route's.
	Rate        float64 // Rate is the quota in units a second; 0 means no limit.
	Burst       float64 // Burst is the quota's reserve in units.
	Tokens      bool    // Tokens says that the units are tokens, not requests.
	PlainTokens int     // PlainTokens is the cost of a request that tells no tokens.
}

// EdgeLimits bound what a caller may send.
type EdgeLimits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Call is one request of a caller as the protocol at the edge told it. Its
// method, path and body stay opaque.
type Call struct {
	ID           string        // ID names this send; resends carry another.
	Host         string        // Host is as it was sent, with a port or without.
	Path         string        // Path is without the query.
	Secret       string        // Secret is the workspace key, empty without one.
	Remaining    time.Duration // Remaining is how long the caller waits; 0 where it did not say.
	PromptTokens int           // PromptTokens is the prompt's length.
	AnswerTokens int           // AnswerTokens is the most that the answer may have.
	HasTokens    bool          // HasTokens says that the caller named both.
	Prefix       []PromptPart  // Prefix are the prompt's parts, in their order.
	LastEvent    string        // LastEvent is the last event that the caller holds, empty without one.
}

// PromptPart is one part of a prompt; parts are shared between requests.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// PromptLink is one step of a prompt's shared parts: the hash of all parts up to it,
// and their tokens. A server holds parts in their order, so a shorter chain can be held
// where a longer one is not.
type PromptLink struct {
	Hash   uint64
	Tokens int
}

// SharedTokens are the tokens of the prompt's parts that other requests may
// share: all but the last.
func (c *Call) SharedTokens() int {
	n := 0
	for i := 0; i+1 < len(c.Prefix); i++ {
		n += c.Prefix[i].Tokens
	}
	return n
}

// Cost is what the call takes from a workspace's quota.
func (c *Call) Cost(w *WorkspaceSpec) float64 {
	switch {
	case !w.Tokens:
		return 1
	case c.HasTokens:
		return float64(c.PromptTokens + c.AnswerTokens)
	}
	return float64(w.PlainTokens)
}
