package control

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// serverList is the platform's list and its recent changes. The embedding type guards it.
type serverList struct {
	listTerm    uint64 // listTerm is the term in which the list was read.
	version     uint64
	servers     []protocol.Instance
	listed      bool
	staleAt     time.Time // staleAt is when the list becomes out of date, unless it is read again.
	serverOrder []string  // serverOrder are the IDs of the listed servers, sorted.
	history     history
	packedSince map[uint64][]byte // packedSince caches the encoded changes since a version, shared by all gateways.
	nameOnly    nameOnlyList
}

// setList stores a version of the list.
func (l *serverList) setList(lister, version uint64, list []protocol.Instance) {
	if l.listed && l.listTerm == lister {
		l.history.add(version, l.version, l.servers, list)
	} else {
		l.history = history{}
	}
	l.listTerm, l.version, l.servers, l.listed, l.packedSince = lister, version, list, true, map[uint64][]byte{}
	l.nameOnly = nameOnlyList{needed: slices.ContainsFunc(list, func(in protocol.Instance) bool { return protocol.ParseIncarnation(in.ID).Start > 0 })}
	l.serverOrder = make([]string, 0, len(list))
	for i := range list {
		l.serverOrder = append(l.serverOrder, list[i].ID)
	}
	slices.Sort(l.serverOrder)
}

// isCurrent reports whether a gateway holds the newest version.
func (l *serverList) isCurrent(m *protocol.SyncMsg) bool {
	return m.Lister == l.listTerm && m.Servers == l.version
}

// fillServers adds to an answer what a gateway lacks of the list: only the changes if the
// gateway holds a recent version of this term.
func (l *serverList) fillServers(m *protocol.SyncMsg, reply *protocol.SyncReply) {
	if !l.listed || l.isCurrent(m) {
		return
	}
	reply.Listed, reply.Lister, reply.Version = true, l.listTerm, l.version
	if l.wantsNamesOnly(m) {
		reply.List = l.packedNames()
		return
	}
	from := m.Servers
	if m.Lister != l.listTerm {
		from = noListVersion
	}
	list, ok := l.packedSince[from]
	if !ok {
		list = packList(l.listSince(from))
		l.packedSince[from] = list
	}
	reply.List = list
}

// noListVersion is a version that no gateway holds: versions start at 1.
const noListVersion = 0

// listSince returns the changes of the list since a version, or all of it.
func (l *serverList) listSince(version uint64) protocol.ServerList {
	if version != noListVersion {
		if changed, gone, ok := l.history.since(version); ok {
			return protocol.ServerList{Servers: changed, Gone: gone}
		}
	}
	return protocol.ServerList{Whole: true, Servers: l.servers}
}

// SetServers stores the platform's list as read in a term. A list without changes does not
// get a new version. A list that was requested in an earlier term is discarded.
func (u *Uplink) SetServers(term uint64, list []protocol.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if term < u.term {
		u.log.Warn().Uint64("term", term).Uint64("now", u.term).Msg("discarded a server list of an earlier term")
		return
	}
	u.enterTerm(term)
	list, restarts := u.serverIncarnations.Filter(list, clock.Now())
	for _, r := range restarts {
		u.log.Warn().Str("server", r.After.String()).Str("before", r.Before.String()).Msg("server started again")
	}
	list = u.filterUnannounced(list, clock.Now())
	if u.listed && sameServers(u.servers, list) {
		return
	}
	u.setList(term, u.version+1, list)
	u.versions.List(list, clock.Now())
	u.ignoreLeavingCrashes(list)
	close(u.listChanged)
	u.listChanged = make(chan struct{})
	u.view = place.NewView(list, u.view, place.WithRollouts(u.loggedRollouts.Load().Latest), place.WithRegions(u.topology))
	u.places.Prune(u.view)
	u.updateLimits()
	u.common = commonReply{}
	u.vector.Reset(u.loads.Pack(u.serverOrder))
	u.readings.SetServers(u.serverOrder)
}

// RecordListRead records whether the list could be read in a term and how long it is until
// the next read.
func (u *Uplink) RecordListRead(term uint64, read bool, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := clock.Now(); read && term == u.term {
		u.staleAt = now.Add(after + listGrace)
		u.versions.Confirm(now)
	}
}

// sameServers reports whether two lists are equivalent. For the remaining times of a slow
// start and until a server ends, only their beginning and end count as changes.
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

// Servers returns the list that was read last, and whether one was read.
func (u *Uplink) Servers() ([]protocol.Instance, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.servers, u.listed
}
