package protocol

import "time"

// Catalog is the configuration that gateways serve by when callers address routes by
// host and path: one accepted document, translated and validated. It is immutable.
type Catalog struct {
	Number     uint64
	Routes     []PathRoute
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	Edge       EdgeLimits
}

// RouteKind tells how often a request of a route may be executed.
type RouteKind uint8

// The kinds of routes.
const (
	RouteOnce       RouteKind = iota // a request is executed at most once
	RouteRepeatable                  // a request may be executed again
	RouteStream                      // answers with events; executed at most once unless resumable
)

// PathRoute maps a host and a path prefix to services.
type PathRoute struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      RouteKind
	Timeout   time.Duration     // longest time that a request is held
	Target    time.Duration     // latency target for the answer, or for its first event
	TargetGap time.Duration     // latency target for the gap between events
	Priority  int               // rank; 0 is the highest priority
	Split     []WeightedService // never empty; the total weight is above 0
	Attempts  int               // maximum number of servers that one request is sent to
	Open      bool              // no workspace key required
	Affinity  bool              // route requests with the same prompt prefix to the same servers
	Resumable bool              // streams may continue at another server
}

// WeightedService is a service and its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *PathRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// ServiceSpec is a service as declared by operators.
type ServiceSpec struct {
	Name        string
	Connections int // maximum connections per server, from all gateways; 0 is unlimited
	Slots       int // concurrent requests per server; 0 takes the value from the platform's list
	// CopyRate is the rate, in prompt tokens per millisecond, at which a server copies
	// the KV cache from another server that holds it; 0 if servers cannot copy.
	CopyRate float64
	Scaling  *ScalingSpec // nil if the number of servers is not managed here
}

// ScalingSpec bounds the number of a service's servers in each failure domain.
type ScalingSpec struct {
	Min, Max     int
	DomainPrices map[string]float64 // price of a server per second, by failure domain
}

// WorkspaceSpec is a workspace with its keys and its quota.
type WorkspaceSpec struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool    // Priority overrides the route's priority
	Rate        float64 // quota in units per second; 0 is unlimited
	Burst       float64 // burst size in units
	Tokens      bool    // units are tokens rather than requests
	PlainTokens int     // cost of a request without token counts
}

// EdgeLimits bounds what a caller may send.
type EdgeLimits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Call is a caller's request as parsed by the protocol at the edge. Its method, path
// and body are opaque.
type Call struct {
	ID           string        // identifies this send; resends carry another ID
	Host         string        // as sent, with or without a port
	Path         string        // without the query
	Secret       string        // workspace key; empty without one
	Remaining    time.Duration // how long the caller waits; 0 if not given
	PromptTokens int           // length of the prompt
	AnswerTokens int           // maximum length of the answer
	HasTokens    bool          // the caller gave both token counts
	Model        string        // model that answers; empty if not given
	Prefix       []PromptPart  // parts of the prompt, in order
	LastEvent    string        // ID of the last event that the caller received; empty without one
	Resumes      string        // ID of the send that brought the stream's first event; empty without one
}

// PromptPart is one part of a prompt. Requests can have parts in common.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// PromptLink is one step of the chain of a prompt's shared parts: the hash of all parts
// up to this one, and their total tokens. Servers cache parts in order, so a server may
// hold a prefix of a chain without holding all of it.
type PromptLink struct {
	Hash   uint64
	Tokens int
}

// SharedTokens returns the number of tokens in the prompt parts that other requests may
// have in common: all parts but the last.
func (c *Call) SharedTokens() int {
	n := 0
	for _, p := range c.SharedParts() {
		n += p.Tokens
	}
	return n
}

// SharedParts returns the prompt parts that other requests may have in common: all but the last.
func (c *Call) SharedParts() []PromptPart {
	if len(c.Prefix) == 0 {
		return nil
	}
	return c.Prefix[:len(c.Prefix)-1]
}

// Cost returns the units that the call takes from a workspace's quota.
func (c *Call) Cost(w *WorkspaceSpec) float64 {
	switch {
	case !w.Tokens:
		return 1
	case c.HasTokens:
		return float64(c.PromptTokens + c.AnswerTokens)
	}
	return float64(w.PlainTokens)
}
