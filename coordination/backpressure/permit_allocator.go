package backpressure

import (
	"maps"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// PermitAllocator is the leader's record of the servers that limit their requests. It
// issues the permits for them.
type PermitAllocator struct {
	change  uint64 // change is a counter that rises with each change of a limit.
	entries map[string]*serverPermits
	rooms   *RoomLedger
	brittle brittleServices
	listed  map[string]protocol.ListedServer
}

// serverPermits is the limit of one server and the permits issued for it.
type serverPermits struct {
	limit      protocol.RateLimit
	statedAt   time.Time // statedAt is when the server sent the limit.
	service    string    // service is empty while unknown.
	changedAt  time.Time // changedAt is when the limit last changed here.
	presumed   bool      // presumed says that the server has not been heard: other servers of its service are brittle.
	change     uint64    // change is the allocator's counter at the last change of this limit.
	counted    map[gatewayIncarnation]bool
	available  float64 // available is the number of permits for immediate use; below 0 after requests without permits.
	refilledAt time.Time
	use        gatewayUse
	recent     []requestCount // recent holds permits issued and requests sent without one, in the last accountingPeriod.
}

// gatewayIncarnation identifies one start of a gateway.
type gatewayIncarnation struct {
	gateway     string
	incarnation uint64
}

// requestCount is a number of requests at one time.
type requestCount struct {
	requests int
	at       time.Time
}

const (
	// accountingPeriod is the time over which issued permits are counted: a permit that is
	// used within a window was issued in it or up to PermitLifetime earlier.
	accountingPeriod = Window + PermitLifetime
	// burstPeriod limits a burst to the permits of this time, so that an overloaded server
	// gets its requests spread out.
	burstPeriod = 500 * time.Millisecond
	// minWait is the least time after which a gateway may ask for permits again.
	minWait = 10 * time.Millisecond
	// withdrawnRetention is how long a withdrawn limit is kept, so that all gateways learn of
	// the withdrawal.
	withdrawnRetention = time.Minute
)

// PermitAllocatorOption configures a new allocator.
type PermitAllocatorOption func(*PermitAllocator)

// WithRoomLedger sets the ledger of the room at brittle servers. By default, there was no earlier
// leader that granted any.
func WithRoomLedger(l *RoomLedger) PermitAllocatorOption {
	return func(a *PermitAllocator) { a.rooms = l }
}

// NewPermitAllocator returns an allocator that knows no limits.
func NewPermitAllocator(opts ...PermitAllocatorOption) *PermitAllocator {
	a := &PermitAllocator{entries: map[string]*serverPermits{}, rooms: NewRoomLedger(time.Time{}, WithoutPredecessor()), brittle: brittleServices{}, listed: map[string]protocol.ListedServer{}}
	for _, opt := range opts {
		opt(a)
	}
	a.rooms.limitOf = a.Limit
	return a
}

// HandleReport processes a gateway's report. It returns the limits that the gateway does
// not know yet, and the permits issued to it.
func (a *PermitAllocator) HandleReport(m *protocol.LimitsMsg, term uint64, now time.Time) protocol.LimitsReply {
	from := gatewayIncarnation{m.Gateway, m.Life}
	var corrections []protocol.ServerLimit
	for i := range m.Heard {
		h := &m.Heard[i]
		a.recordLimit(h, now)
		if current := a.Limit(h.Server); current != h.Limit {
			corrections = append(corrections, a.toServerLimit(h.Server))
		}
	}
	for i := range m.Sent {
		a.countSent(from, &m.Sent[i], now)
	}
	known := m.Held
	if m.Term != term {
		known = 0
	}
	reply := protocol.LimitsReply{Leads: true, Term: term, Change: a.change, ReportsUses: true, GrantsRooms: true, ChoosesRooms: true, RoomsOpen: !now.Before(a.rooms.opensAt), Limits: append(a.changedSince(known), corrections...)}
	for i := range m.Wants {
		reply.Grants = append(reply.Grants, a.grant(from, &m.Wants[i], now))
	}
	if m.Gateway != "" {
		reply.Rooms, reply.RoomStates = a.rooms.report(from, m, now)
	}
	for _, server := range m.Using {
		if e := a.entries[server]; e != nil && e.limit.Named {
			reply.Uses = append(reply.Uses, protocol.ServerUse{Server: server, Part: e.use.part(from, now)})
		}
	}
	return reply
}

// recordLimit stores the limit that a server sent to a gateway, unless a later one is known.
func (a *PermitAllocator) recordLimit(h *protocol.ReportedLimit, now time.Time) {
	statedAt := now.Add(-h.Ago)
	e := a.entry(h.Server, h.Service, now)
	if statedAt.Before(e.statedAt) {
		return
	}
	e.statedAt, e.presumed = statedAt, false
	a.setLimit(h.Server, e, h.Limit, now)
	began, ended := a.brittle.record(e.service, h.Server, h.Limit)
	if began || ended {
		a.presume(e.service, now)
	}
}

// entry returns the entry of a server.
func (a *PermitAllocator) entry(server, service string, now time.Time) *serverPermits {
	e := a.entries[server]
	if e == nil {
		e = &serverPermits{refilledAt: now, counted: map[gatewayIncarnation]bool{}}
		a.entries[server] = e
	}
	if in, ok := a.listed[server]; ok {
		service = in.Service
	}
	if service != "" {
		e.service = service
	}
	return e
}

// presume gives the servers of a service that have not been heard the limit that the others have, or none
// if the service is not brittle.
func (a *PermitAllocator) presume(service string, now time.Time) {
	limit, brittle := a.brittle.presumed(service)
	for server, in := range a.listed {
		if in.Service != service {
			continue
		}
		e := a.entries[server]
		switch {
		case brittle && (e == nil || e.presumed || !e.limit.Brittle):
			e = a.entry(server, service, now)
			e.presumed = true
			a.setLimit(server, e, presumeBrittle(e.limit, limit), now)
		case !brittle && e != nil && e.presumed:
			e.presumed = false
			a.setLimit(server, e, presumeBrittle(e.limit, limit), now)
		}
	}
}

// presumeBrittle returns a limit that is as brittle as another one.
func presumeBrittle(limit, as protocol.RateLimit) protocol.RateLimit {
	limit.Brittle, limit.MaxRejections = as.Brittle, as.MaxRejections
	return limit
}

// setLimit sets the limit of an entry.
func (a *PermitAllocator) setLimit(server string, e *serverPermits, limit protocol.RateLimit, now time.Time) {
	if e.limit == limit {
		return
	}
	if !e.limit.Named {
		clear(e.counted) // Gateways report again what they sent while there was no limit.
		e.recent, e.available, e.refilledAt = nil, 0, now
	}
	e.limit, e.changedAt = limit, now
	a.rooms.setLimit(server, limit)
	a.change++
	e.change = a.change
}

// countSent counts, once per gateway, the requests that it sent before it knew the limit.
func (a *PermitAllocator) countSent(from gatewayIncarnation, row *protocol.SentRequests, now time.Time) {
	e := a.entries[row.Server]
	if e == nil || e.counted[from] {
		return
	}
	e.counted[from] = true
	for age, n := range row.Slots {
		if n > 0 {
			e.recent = append(e.recent, requestCount{n, now.Add(-time.Duration(age) * protocol.SentInterval)})
			e.use.add(from, n, now)
		}
	}
}

// changedSince returns the limits that changed after the given value of the counter.
func (a *PermitAllocator) changedSince(known uint64) []protocol.ServerLimit {
	if known == a.change {
		return nil
	}
	var list []protocol.ServerLimit
	for server, e := range a.entries {
		if e.change > known {
			list = append(list, a.toServerLimit(server))
		}
	}
	return list
}

// toServerLimit returns the limit of a server in the form that answers to gateways have.
func (a *PermitAllocator) toServerLimit(server string) protocol.ServerLimit {
	e := a.entries[server]
	return protocol.ServerLimit{Server: server, Service: e.service, Limit: e.limit, Presumed: e.presumed}
}

// Inherit takes limits that an earlier leader knew.
func (a *PermitAllocator) Inherit(limits []protocol.ServerLimit, now time.Time) {
	for i := range limits {
		in := &limits[i]
		switch {
		case in.Limit.IsZero():
		case in.Presumed:
			a.RememberBrittle([]protocol.BrittleService{{Service: in.Service, MaxRejections: in.Limit.MaxRejections}}, now)
		default:
			a.recordLimit(&protocol.ReportedLimit{Server: in.Server, Service: in.Service, Limit: in.Limit, Ago: inheritedAge}, now)
		}
	}
}

// RememberBrittle takes the services that had brittle servers before this allocator existed.
func (a *PermitAllocator) RememberBrittle(list []protocol.BrittleService, now time.Time) {
	for _, s := range list {
		if a.brittle.remember(s.Service, s.MaxRejections, now) {
			a.presume(s.Service, now)
		}
	}
}

// ReserveCredits lets a new leader grant the reserved credits early; see WithReservedCredit.
func (a *PermitAllocator) ReserveCredits() { a.rooms.reserve = true }

// BrittleServices returns the services with brittle servers, sorted by name.
func (a *PermitAllocator) BrittleServices() []protocol.BrittleService { return a.brittle.list() }

// RoomUse returns the room at the brittle servers of each service, sorted by name.
func (a *PermitAllocator) RoomUse(now time.Time) []RoomUse { return a.rooms.use(now) }

// SetIncomplete makes gateways ask for the limits before they use a server, since an earlier leader
// may have known some that are not known here yet.
func (a *PermitAllocator) SetIncomplete() { a.change++ }

// inheritedAge is the age that an inherited limit counts as having: what a gateway reports of its
// server is newer.
const inheritedAge = time.Second

// Change returns the counter of limit changes; 0 before the first limit.
func (a *PermitAllocator) Change() uint64 { return a.change }

// Limit returns a server's limit.
func (a *PermitAllocator) Limit(server string) protocol.RateLimit {
	if e := a.entries[server]; e != nil {
		return e.limit
	}
	return protocol.RateLimit{}
}

// Limits returns the limits in force, in requests per second, by server.
func (a *PermitAllocator) Limits() map[string]float64 {
	all := map[string]float64{}
	for server, e := range a.entries {
		if e.limit.Named {
			all[server] = e.limit.PerSecond
		}
	}
	return all
}

// SetServers sets the listed servers. It removes the limits of others, and those withdrawn longer ago than
// withdrawnRetention, and presumes that servers which were not listed before are as brittle as the others of
// their service.
func (a *PermitAllocator) SetServers(list []protocol.ListedServer, now time.Time) {
	before := a.listed
	a.listed = make(map[string]protocol.ListedServer, len(list))
	for _, in := range list {
		a.listed[in.Server] = in
	}
	for server, e := range a.entries {
		if in, ok := a.listed[server]; ok && e.service == "" {
			e.service = in.Service
			if e.limit.Brittle && !e.presumed {
				a.brittle.record(e.service, server, e.limit)
			}
		}
	}
	isListed := func(server string) bool { _, ok := a.listed[server]; return ok }
	maps.DeleteFunc(a.entries, func(server string, e *serverPermits) bool {
		return !isListed(server) || (e.limit.IsZero() && now.Sub(e.changedAt) > withdrawnRetention)
	})
	a.brittle.prune(isListed, now)
	a.rooms.setServers(list)
	for _, in := range list {
		if _, known := before[in.Server]; !known && a.entries[in.Server] == nil {
			a.presumeNew(&in, now)
		}
	}
}

// presumeNew presumes that a server is brittle if others of its service are.
func (a *PermitAllocator) presumeNew(in *protocol.ListedServer, now time.Time) {
	if limit, brittle := a.brittle.presumed(in.Service); brittle {
		e := a.entry(in.Server, in.Service, now)
		e.presumed = true
		a.setLimit(in.Server, e, limit, now)
	}
}

// grant issues permits to a gateway. It issues none before the gateway's earlier requests
// are counted.
func (a *PermitAllocator) grant(to gatewayIncarnation, w *protocol.PermitRequest, now time.Time) protocol.PermitGrant {
	g := protocol.PermitGrant{Server: w.Server, Lasts: PermitLifetime}
	e := a.entries[w.Server]
	if e == nil || !e.limit.Named {
		return g
	}
	e.refill(now)
	e.reclaim(max(0, w.Back))
	e.charge(to, max(0, w.Alone), now)
	if e.counted[to] {
		g.Count = max(0, min(w.Count, int(math.Floor(e.available)), e.headroom()))
		e.charge(to, g.Count, now)
	}
	if g.Count < w.Count {
		g.Wait = e.untilNext(now)
	}
	return g
}

// rate is the rate to enforce, in requests per second.
func (e *serverPermits) rate() float64 { return max(e.limit.PerSecond, minRate) }

// refill adds the permits that became available since the last call, and drops counts that
// are older than accountingPeriod.
func (e *serverPermits) refill(now time.Time) {
	burst := max(1, e.rate()*burstPeriod.Seconds())
	e.available = min(burst, e.available+e.rate()*max(0, now.Sub(e.refilledAt).Seconds()))
	e.refilledAt = now
	kept := e.recent[:0]
	for _, c := range e.recent {
		if now.Sub(c.at) < accountingPeriod {
			kept = append(kept, c)
		}
	}
	e.recent = kept
}

// headroom returns how many more permits the accountingPeriod that ends now allows.
func (e *serverPermits) headroom() int {
	left := e.maxInPeriod()
	for _, c := range e.recent {
		left -= c.requests
	}
	return left
}

// maxInPeriod returns how many permits may be issued within an accountingPeriod.
func (e *serverPermits) maxInPeriod() int { return int(max(1, e.rate()*accountingPeriod.Seconds())) }

// charge counts permits that are issued, or requests that were sent without one. The
// deficit from the latter is at most what becomes available within a Window.
func (e *serverPermits) charge(from gatewayIncarnation, requests int, now time.Time) {
	if requests == 0 {
		return
	}
	e.available = max(e.available-float64(requests), -e.rate()*Window.Seconds())
	e.recent = append(e.recent, requestCount{requests, now})
	e.use.add(from, requests, now)
}

// reclaim takes back permits that expired unused. It takes them from the latest counts, as
// permits expire soon after they are issued.
func (e *serverPermits) reclaim(n int) {
	e.available += float64(n)
	for i := len(e.recent) - 1; i >= 0 && n > 0; i-- {
		part := min(n, e.recent[i].requests)
		e.recent[i].requests -= part
		n -= part
	}
}

// untilNext returns how long it takes until the next permit is available.
func (e *serverPermits) untilNext(now time.Time) time.Duration {
	wait := time.Duration((1 - e.available) / e.rate() * float64(time.Second))
	excess := 1 - e.headroom()
	for _, c := range e.recent { // Not sorted by time: gateways report earlier requests later.
		if excess > 0 && c.requests > 0 {
			wait = max(wait, c.at.Add(accountingPeriod).Sub(now))
			excess -= c.requests
		}
	}
	return max(minWait, wait)
}
