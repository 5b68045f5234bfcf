package control

import (
	"sync"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// maxKeptOrigins bounds the streams whose origins a control instance keeps, at some 200 bytes each.
const maxKeptOrigins = 64 << 10

// keptOrigins holds the origins of streams that gateways gave this instance to keep, since gateways may
// all end at once. It belongs to no term.
type keptOrigins struct {
	mu    sync.Mutex // mu guards table; no other lock is taken while it is held.
	table *origin.Table
}

// KeepOrigins keeps origins of streams for a gateway.
func (u *Uplink) KeepOrigins(m protocol.OriginsMsg, reply *protocol.KeepOriginsReply) error {
	k, now := &u.keptOrigins, clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range m.Origins {
		k.table.Add(o, false, now)
	}
	reply.Kept = k.table.Len()
	return nil
}

// FindOrigin answers a gateway's query for the origin of a stream. The leader also tells whether the
// lists have had a single version.
func (u *Uplink) FindOrigin(q protocol.OriginQuery, reply *protocol.OriginReply) error {
	k, now := &u.keptOrigins, clock.Now()
	k.mu.Lock()
	if r, ok := k.table.Find(q.Key, now); ok {
		reply.Found, reply.Origin = true, r.Origin(q.Key, now)
	}
	k.mu.Unlock()
	term, leads := u.group.Vouches()
	if reply.Found || !leads {
		return nil
	}
	reply.Leads = true
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.term == term && origin.Current(u.versions.ListAge(now)) {
		reply.Single = u.versions.Single(q.Route, now)
	}
	return nil
}
