package state

import (
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// rollouts holds the most recent roll-out of each service. A roll-out is never modified
// in place, so copies may be shared.
type rollouts struct {
	count   uint64 // number of roll-outs begun
	changes uint64 // number of changes to latest and known
	latest  map[string]*protocol.Rollout
	known   map[string][]string // versions that receive requests without a roll-out, by service
}

// newRollouts returns the roll-outs of a snapshot.
func newRollouts(i *Image) rollouts {
	r := rollouts{count: i.RolloutCount, latest: map[string]*protocol.Rollout{}}
	for k := range i.Rollouts {
		r.put(&i.Rollouts[k])
	}
	r.known = i.Versions
	r.changes = i.RolloutChanges
	return r
}

// begin accepts an order unless another roll-out of the service is running. An
// identical order within its repeat time returns the roll-out that the first one began,
// even if it has ended.
func (r *rollouts) begin(m *protocol.BeginRolloutMsg, now int64) *protocol.BeginRolloutReply {
	last := r.latest[m.Service]
	if last != nil && isRepeat(last, m, now) {
		return &protocol.BeginRolloutReply{Taken: true, Rollout: *last}
	}
	if last != nil && !last.Stage.Final() {
		return &protocol.BeginRolloutReply{Rollout: *last}
	}
	next := &protocol.Rollout{Service: m.Service, Version: m.Version, LimitMS: m.LimitMS, BeganAt: now}
	if last != nil {
		next.Blocked = blockedAfter(last, m.Version)
	}
	if last != nil && last.Stage == protocol.RolloutCompleted && len(r.known[m.Service]) > 0 {
		r.addVersions(&protocol.VersionsMsg{Service: m.Service, Versions: []string{last.Version}}) // until now, only its roll-out named it
	}
	r.count++
	next.Number = r.count
	r.put(next)
	return &protocol.BeginRolloutReply{Taken: true, Rollout: *next}
}

// blockedAfter returns the versions that remain blocked after a finished roll-out,
// except for the version that is ordered now.
func blockedAfter(last *protocol.Rollout, ordered string) []string {
	var blocked []string
	for _, version := range slices.Concat(last.Blocked, last.Former, []string{last.Version}) {
		if version != ordered && last.Blocks(version) && !slices.Contains(blocked, version) {
			blocked = append(blocked, version)
		}
	}
	return blocked
}

// isRepeat reports whether an order repeats that of the service's most recent roll-out,
// or requests a version that this one has already reached.
func isRepeat(last *protocol.Rollout, m *protocol.BeginRolloutMsg, now int64) bool {
	if last.Version != m.Version {
		return false
	}
	if last.Stage == protocol.RolloutCompleted {
		return true // the service runs this version already
	}
	return last.LimitMS == m.LimitMS && (!last.Stage.Final() || now-last.BeganAt <= m.RepeatMS)
}

// advance moves a running roll-out to a later stage. It never goes back, and a finished
// roll-out does not change.
func (r *rollouts) advance(m *protocol.StageRolloutMsg, now int64) *protocol.StageRolloutReply {
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

// addVersions adds known versions. The lists are never modified in place.
func (r *rollouts) addVersions(m *protocol.VersionsMsg) {
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

// list returns copies of the roll-outs, sorted by service.
func (r *rollouts) list() []protocol.Rollout {
	rows := make([]protocol.Rollout, 0, len(r.latest))
	for _, service := range slices.Sorted(maps.Keys(r.latest)) {
		rows = append(rows, *r.latest[service])
	}
	return rows
}
