package state

import (
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// rollouts are the newest roll-out of each service. A roll-out is never changed in
// place, so that copies may be handed out.
type rollouts struct {
	count   uint64 // count is how many were begun.
	changes uint64 // changes counts what was begun, taken further, and learnt of versions.
	latest  map[string]*protocol.Rollout
	known   map[string][]string // known are the versions of each service that get requests without one.
}

// newRollouts returns those of a snapshot.
func newRollouts(i *Image) rollouts {
	r := rollouts{count: i.RolloutCount, latest: map[string]*protocol.Rollout{}}
	for k := range i.Rollouts {
		r.put(&i.Rollouts[k])
	}
	r.known = i.Versions
	r.changes = i.RolloutChanges
	return r
}

// begin takes an order, unless another roll-out of the service runs. The same order
// sent again within its time finds the roll-out that it began, also one that is over.
func (r *rollouts) begin(m *protocol.BeginRolloutMsg, now int64) *protocol.BeginRolloutReply {
	last := r.latest[m.Service]
	if last != nil && repeats(last, m, now) {
		return &protocol.BeginRolloutReply{Taken: true, Rollout: *last}
	}
	if last != nil && !last.Stage.Final() {
		return &protocol.BeginRolloutReply{Rollout: *last}
	}
	next := &protocol.Rollout{Service: m.Service, Version: m.Version, LimitMS: m.LimitMS, BeganAt: now}
	if last != nil {
		next.Blocked = blockedBefore(last, m.Version)
	}
	if last != nil && last.Stage == protocol.RolloutCompleted && len(r.known[m.Service]) > 0 {
		r.know(&protocol.VersionsMsg{Service: m.Service, Versions: []string{last.Version}}) // So far its roll-out named it.
	}
	r.count++
	next.Number = r.count
	r.put(next)
	return &protocol.BeginRolloutReply{Taken: true, Rollout: *next}
}

// blockedBefore are the versions that get nothing behind a roll-out that is over, but
// for the one that is ordered now.
func blockedBefore(last *protocol.Rollout, ordered string) []string {
	var blocked []string
	for _, version := range slices.Concat(last.Blocked, last.Former, []string{last.Version}) {
		if version != ordered && last.Blocks(version) && !slices.Contains(blocked, version) {
			blocked = append(blocked, version)
		}
	}
	return blocked
}

// repeats reports whether an order is that of the service's newest roll-out, or asks
// for what that has come to.
func repeats(last *protocol.Rollout, m *protocol.BeginRolloutMsg, now int64) bool {
	if last.Version != m.Version {
		return false
	}
	if last.Stage == protocol.RolloutCompleted {
		return true // The service is there.
	}
	return last.LimitMS == m.LimitMS && (!last.Stage.Final() || now-last.BeganAt <= m.RepeatMS)
}

// stage takes a running roll-out further. It never goes back, and what is over stays.
func (r *rollouts) stage(m *protocol.StageRolloutMsg, now int64) *protocol.StageRolloutReply {
	last := r.latest[m.Service]
	if last == nil {
		return &protocol.StageRolloutReply{}
	}
	if last.Number != m.Number || last.Stage.Final() || m.Stage <= last.Stage {
		return &protocol.StageRolloutReply{Rollout: *last}
	}
	next := *last
	next.Stage, next.Reason = m.Stage, m.Reason
	if len(m.Former) > 0 {
		next.Former = m.Former
	}
	if next.Stage.Final() {
		next.EndedAt = now
	}
	r.put(&next)
	return &protocol.StageRolloutReply{Rollout: next}
}

// know adds versions. The lists are never changed in place.
func (r *rollouts) know(m *protocol.VersionsMsg) {
	known := maps.Clone(r.known)
	if known == nil {
		known = map[string][]string{}
	}
	list := slices.Concat(known[m.Service], m.Versions)
	slices.Sort(list)
	known[m.Service] = slices.Compact(list)
	r.known = known
	r.changes++
}

func (r *rollouts) put(next *protocol.Rollout) {
	if r.latest == nil {
		r.latest = map[string]*protocol.Rollout{}
	}
	r.latest[next.Service] = next
	r.changes++
}

// list returns copies of the roll-outs in the order of their services.
func (r *rollouts) list() []protocol.Rollout {
	rows := make([]protocol.Rollout, 0, len(r.latest))
	for _, service := range slices.Sorted(maps.Keys(r.latest)) {
		rows = append(rows, *r.latest[service])
	}
	return rows
}
