package control

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// listing is the platform's list with what changed of it lately. It is guarded by its
// holder.
type listing struct {
	lister  uint64 // lister is the term in which the list was read.
	version uint64
	servers []protocol.Instance
	listed  bool
	due     time.Time // due is when the list is out of date, unless it was read again.
	order   []string  // order are the listed servers by name.
	history history
	lists   map[uint64][]byte // lists are what changed since a version, packed once for all gateways.
	names   listNames
}

// take takes a version of the list.
func (l *listing) take(lister, version uint64, list []protocol.Instance) {
	if l.listed && l.lister == lister {
		l.history.add(version, l.version, l.servers, list)
	} else {
		l.history = history{}
	}
	l.lister, l.version, l.servers, l.listed, l.lists = lister, version, list, true, map[uint64][]byte{}
	l.names = listNames{starts: slices.ContainsFunc(list, func(in protocol.Instance) bool { return protocol.ParseIncarnation(in.ID).Start > 0 })}
	l.order = make([]string, 0, len(list))
	for i := range list {
		l.order = append(l.order, list[i].ID)
	}
	slices.Sort(l.order)
}

// holds reports whether a gateway holds the newest version.
func (l *listing) holds(m *protocol.SyncMsg) bool {
	return m.Lister == l.lister && m.Servers == l.version
}

// tellServers tells a gateway what it lacks of the list: the changes, if it holds
// a version of this term that is not too old.
func (l *listing) tellServers(m *protocol.SyncMsg, reply *protocol.SyncReply) {
	if !l.listed || l.holds(m) {
		return
	}
	reply.Listed, reply.Lister, reply.Version = true, l.lister, l.version
	if l.startless(m) {
		reply.List = l.withoutStarts()
		return
	}
	from := m.Servers
	if m.Lister != l.lister {
		from = wholeList
	}
	list, ok := l.lists[from]
	if !ok {
		list = packList(l.listSince(from))
		l.lists[from] = list
	}
	reply.List = list
}

// wholeList stands for a version that nobody holds: the first one is 1.
const wholeList = 0

// listSince returns what changed of the list since a version, or all of it.
func (l *listing) listSince(version uint64) protocol.ServerList {
	if version != wholeList {
		if changed, gone, ok := l.history.since(version); ok {
			return protocol.ServerList{Servers: changed, Gone: gone}
		}
	}
	return protocol.ServerList{Whole: true, Servers: l.servers}
}

// SetServers takes the platform's list, read in a term. A list that is the same
// as the one before is no news. One that was asked for in an earlier term came too late.
func (u *Uplink) SetServers(term uint64, list []protocol.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if term < u.term {
		u.log.Warn().Uint64("term", term).Uint64("now", u.term).Msg("list of an earlier term left out")
		return
	}
	u.enter(term)
	list, again := u.starts.Filter(list, clock.Now())
	for _, r := range again {
		u.log.Warn().Str("server", r.After.String()).Str("before", r.Before.String()).Msg("server started again")
	}
	list = u.announced(list, clock.Now())
	if u.listed && sameServers(u.servers, list) {
		return
	}
	u.take(term, u.version+1, list)
	u.excuseLeaving(list)
	close(u.news)
	u.news = make(chan struct{})
	u.view = place.NewView(list, u.view, place.WithRollouts(u.logged.Load().Latest), place.WithRegions(u.topology))
	u.places.Prune(u.view)
	u.keepLimits()
	u.common = common{}
	u.vector.Reset(u.loads.Pack(u.order))
	u.readings.SetServers(u.order)
}

// ExpectList notes whether the list could be read in a term, and that it is to be read again
// after a pause.
func (u *Uplink) ExpectList(term uint64, read bool, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if read && term == u.term {
		u.due = clock.Now().Add(after + listSlack)
	}
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
