package control

import "github.com/weldstream/weldstream/internal/clock"

// RelayState is a relay's part of a dump.
type RelayState struct {
	Leader   string `json:"leader"` // Leader is the instance that the last batch was sent to.
	Term     uint64 `json:"term"`
	Number   uint64 `json:"number"` // Number is the newest document that the leader has confirmed.
	Servers  int    `json:"servers"`
	Gateways int    `json:"gateways"` // Gateways is the number of gateways with a recent request.
	Batches  uint64 `json:"batches"`
	Overdue  bool   `json:"cut"` // Overdue is set while the leader's answer is overdue.
}

// State returns the relay's part of a dump.
func (r *Relay) State() RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, gateways := clock.Now(), 0
	for _, at := range r.gateways {
		if now.Sub(at) <= gatewayTTL {
			gateways++
		}
	}
	return RelayState{Leader: r.batchLeader, Term: r.state.term, Number: r.state.number, Servers: len(r.state.servers), Gateways: gateways, Batches: r.lastBatch, Overdue: r.overdue}
}
