package control

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/protocol"
)

// tellServers tells a gateway what it lacks of the list: the changes, if it holds
// a version of this term that is not too old. It needs u.mu.
func (u *Uplink) tellServers(m *protocol.SyncMsg, reply *protocol.SyncReply) {
	if !u.listed || (m.Lister == u.lister && m.Servers == u.version) {
		return
	}
	reply.Listed, reply.Lister, reply.Version = true, u.lister, u.version
	from := m.Servers
	if m.Lister != u.lister {
		from = wholeList
	}
	list, ok := u.lists[from]
	if !ok {
		list = packList(u.listSince(from))
		u.lists[from] = list
	}
	reply.List = list
}

// wholeList stands for a version that nobody holds: the first one is 1.
const wholeList = 0

// listSince returns what changed of the list since a version, or all of it. It
// needs u.mu.
func (u *Uplink) listSince(version uint64) protocol.ServerList {
	if version != wholeList {
		if changed, gone, ok := u.history.since(version); ok {
			return protocol.ServerList{Servers: changed, Gone: gone}
		}
	}
	return protocol.ServerList{Whole: true, Servers: u.servers}
}

// SetServers takes the platform's list, read in a term. A list that is the same
// as the one before is no news.
func (u *Uplink) SetServers(term uint64, list []protocol.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	list = u.announced(list, time.Now())
	if u.listed && sameServers(u.servers, list) {
		return
	}
	u.version++
	if u.listed {
		u.history.add(u.version, u.servers, list)
	}
	u.lister, u.servers, u.listed, u.lists = term, list, true, map[uint64][]byte{}
	close(u.news)
	u.news = make(chan struct{})
	u.view = place.NewView(list, u.view, place.WithRollouts(u.logged.Load().Latest))
	u.places.Keep(u.view)
	u.order, u.common = make([]string, 0, len(list)), common{}
	for i := range list {
		u.order = append(u.order, list[i].ID)
	}
	slices.Sort(u.order)
	u.readings.List(u.order)
}

// sameServers reports whether two lists say the same. How much longer a server
// is slow from its start, or still runs, is reported only when that begins and ends.
func sameServers(a, b []protocol.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameServer(a[i], b[i]) {
			return false
		}
	}
	return true
}

func sameServer(a, b protocol.Instance) bool {
	a.ColdMS, b.ColdMS = min(a.ColdMS, 1), min(b.ColdMS, 1)
	a.LeftMS, b.LeftMS = min(a.LeftMS, 1), min(b.LeftMS, 1)
	return a == b
}

// Servers returns the platform's list as it was read last, and whether it was.
func (u *Uplink) Servers() ([]protocol.Instance, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.servers, u.listed
}
