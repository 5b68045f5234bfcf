package control

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// listNames is a list as gateways of builds that know no starts of servers have it.
type listNames struct {
	starts     bool              // starts says that the list tells starts.
	packed     []byte            // packed is the whole list with the servers' names alone; nil before it is asked for.
	identities map[string]string // identities are the listed servers by their names; nil before they are asked for.
}

// startless reports whether a gateway is to be told of servers by their names alone.
func (l *listing) startless(m *protocol.SyncMsg) bool {
	return l.names.starts && !m.SupportsIncarnations()
}

// withoutStarts returns the whole list with the servers' names alone. Such a gateway sends
// a name on to the server itself, which turns away what names it otherwise: told of starts,
// gateways of an earlier build were served nothing.
func (l *listing) withoutStarts() []byte {
	if l.names.packed == nil {
		list := slices.Clone(l.servers)
		for i := range list {
			list[i].ID = protocol.ParseIncarnation(list[i].ID).Name
		}
		l.names.packed = packList(protocol.ServerList{Whole: true, Servers: list})
	}
	return l.names.packed
}

// identity returns the listed server of a name, or the name where none is.
func (l *listing) identity(name string) string {
	if l.names.identities == nil {
		l.names.identities = make(map[string]string, len(l.servers))
		for i := range l.servers {
			id := l.servers[i].ID
			l.names.identities[protocol.ParseIncarnation(id).Name] = id
		}
	}
	if id, ok := l.names.identities[name]; ok {
		return id
	}
	return name
}

// identify has a question name servers by their starts, where its gateway's build knows
// none: its counts then add up with those of the others.
func (l *listing) identify(m *protocol.SyncMsg) {
	if !l.startless(m) {
		return
	}
	m.Running = slices.Clone(m.Running)
	for i := range m.Running {
		m.Running[i].Server = l.identity(m.Running[i].Server)
	}
	m.Distrusts = slices.Clone(m.Distrusts)
	for i := range m.Distrusts {
		m.Distrusts[i] = l.identity(m.Distrusts[i])
	}
	m.Readings = slices.Clone(m.Readings)
	for i := range m.Readings {
		m.Readings[i].Server = l.identity(m.Readings[i].Server)
	}
	m.Trials = slices.Clone(m.Trials)
	for i := range m.Trials {
		t := &m.Trials[i]
		t.Rows = slices.Clone(t.Rows)
		for k := range t.Rows {
			t.Rows[k].Server = l.identity(t.Rows[k].Server)
		}
	}
}
