package state

import "github.com/weldstream/weldstream/protocol"

// brittleServices are the services whose servers crash under requests that they reject. They are kept for
// replicas and gateways that all start again: servers say it only in their answers.
type brittleServices struct {
	list    []protocol.BrittleService // list is sorted by service, and never modified in place.
	changes uint64
}

// replace replaces all services.
func (b *brittleServices) replace(m *protocol.BrittleServicesMsg) {
	b.list = m.Services
	b.changes++
}
