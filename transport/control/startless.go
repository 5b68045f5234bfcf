package control

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// nameOnlyList is the list for gateways of builds that do not support incarnations of servers.
type nameOnlyList struct {
	needed     bool              // needed is set if the list contains incarnations.
	packed     []byte            // packed is the complete encoded list with names only; nil until it is requested.
	identities map[string]string // identities maps names to the IDs of the listed servers; nil until it is requested.
}

// wantsNamesOnly reports whether a gateway must be sent the names of servers only.
func (l *serverList) wantsNamesOnly(m *protocol.SyncMsg) bool {
	return l.nameOnly.needed && !m.SupportsIncarnations()
}

// packedNames returns the complete list with names only. Such a gateway forwards the name to
// the server, which rejects any other name: gateways of an earlier build that received
// incarnations had all their requests rejected.
func (l *serverList) packedNames() []byte {
	if l.nameOnly.packed == nil {
		list := slices.Clone(l.servers)
		for i := range list {
			list[i].ID = protocol.ParseIncarnation(list[i].ID).Name
		}
		l.nameOnly.packed = packList(protocol.ServerList{Whole: true, Servers: list})
	}
	return l.nameOnly.packed
}

// serverID returns the ID of the listed server with a name, or the name if there is none.
func (l *serverList) serverID(name string) string {
	if l.nameOnly.identities == nil {
		l.nameOnly.identities = make(map[string]string, len(l.servers))
		for i := range l.servers {
			id := l.servers[i].ID
			l.nameOnly.identities[protocol.ParseIncarnation(id).Name] = id
		}
	}
	if id, ok := l.nameOnly.identities[name]; ok {
		return id
	}
	return name
}

// resolveNames replaces server names in the request of a gateway that does not support
// incarnations by IDs, so that its counts add up with those of the others.
func (l *serverList) resolveNames(m *protocol.SyncMsg) {
	if !l.wantsNamesOnly(m) {
		return
	}
	m.Running = slices.Clone(m.Running)
	for i := range m.Running {
		m.Running[i].Server = l.serverID(m.Running[i].Server)
	}
	m.Distrusts = slices.Clone(m.Distrusts)
	for i := range m.Distrusts {
		m.Distrusts[i] = l.serverID(m.Distrusts[i])
	}
	m.Readings = slices.Clone(m.Readings)
	for i := range m.Readings {
		m.Readings[i].Server = l.serverID(m.Readings[i].Server)
	}
	m.Trials = slices.Clone(m.Trials)
	for i := range m.Trials {
		t := &m.Trials[i]
		t.Rows = slices.Clone(t.Rows)
		for k := range t.Rows {
			t.Rows[k].Server = l.serverID(t.Rows[k].Server)
		}
	}
}
