package control

import "github.com/weldstream/weldstream/internal/clock"

// RelayState is what a dump shows of a relay.
type RelayState struct {
	Leader   string `json:"leader"` // Leader is the one that it asked last.
	Term     uint64 `json:"term"`
	Number   uint64 `json:"number"` // Number is the document that was vouched for last.
	Servers  int    `json:"servers"`
	Gateways int    `json:"gateways"` // Gateways are those that asked it lately.
	Batches  uint64 `json:"batches"`
	Overdue  bool   `json:"cut"` // Overdue says that the leader's answer is overdue.
}

// State returns what a dump shows of the relay.
func (r *Relay) State() RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, gateways := clock.Now(), 0
	for _, at := range r.gateways {
		if now.Sub(at) <= gatewayKept {
			gateways++
		}
	}
	return RelayState{Leader: r.asked, Term: r.copies.term, Number: r.copies.number, Servers: len(r.copies.servers), Gateways: gateways, Batches: r.batch, Overdue: r.overdue}
}
