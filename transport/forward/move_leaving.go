package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// moveFromLeaving notes which servers a new list calls leaving, and has their runs moved.
func (g *Gateway) moveFromLeaving(v *place.View, now time.Time) {
	m := &g.moves
	if m.mover == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rename(v)
	notices := map[string]notice{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if !s.Leaving || s.LeftMS <= 0 {
			continue
		}
		notices[s.ID] = notice{at: now, end: now.Add(time.Duration(s.LeftMS) * time.Millisecond)}
		if first, ok := m.notices[s.ID]; ok {
			notices[s.ID] = first
		}
	}
	m.notices = notices
	for id := range m.weights {
		if v.Find(id) == nil {
			delete(m.weights, id)
		}
	}
	for i := range v.Servers {
		g.startMoving(&v.Servers[i])
	}
}

// rename has runs follow a server whose identity changed though it did not start again: a
// leader of another build tells its start, or tells none. It needs the lock of the moves.
func (m *moves) rename(v *place.View) {
	unlisted := map[string]protocol.Incarnation{} // unlisted are the servers of runs by their names.
	for id := range m.runs {
		if v.Find(id) == nil {
			in := protocol.ParseIncarnation(id)
			unlisted[in.Name] = in
		}
	}
	for i := 0; len(unlisted) > 0 && i < len(v.Servers); i++ {
		now := protocol.ParseIncarnation(v.Servers[i].ID)
		before, ok := unlisted[now.Name]
		if ok && (before.Start == 0 || now.Start == 0) {
			m.relist(before.String(), v.Servers[i].ID)
		}
	}
}

// relist has the runs of a server's former identity stand under its present one. It needs
// the lock of the moves.
func (m *moves) relist(before, now string) {
	if m.runs[now] == nil {
		m.runs[now] = map[*running]struct{}{}
	}
	for r := range m.runs[before] {
		r.listed = now
		m.runs[now][r] = struct{}{}
	}
	delete(m.runs, before)
}

// startMoving starts moveRuns for a server that is leaving and has runs, unless it is at
// work already. It needs the lock of the moves.
func (g *Gateway) startMoving(s *place.Server) {
	m := &g.moves
	n, leaves := m.notices[s.ID]
	if !leaves || m.watched[s.ID] || len(m.runs[s.ID]) == 0 {
		return
	}
	m.watched[s.ID] = true
	go g.moveRuns(s, n)
}

// moveRuns moves the runs of one server until none is left, or the server is gone.
func (g *Gateway) moveRuns(s *place.Server, n notice) {
	m, until := &g.moves, n.end
	g.log.Info().Str("server", s.ID).Int64("left", clock.Until(until).Milliseconds()).Msg("server leaves, its runs are moved")
	if g.cfg.MoveLead > 0 {
		time.Sleep(min(clock.Until(until)-g.cfg.MoveLead, moveLatest))
	}
	underWay, done := 0, make(chan bool, moveAtOnce)
	for m.keepsMoving(s.ID, until.Add(moveGrace), g.stays(s.ID)) {
		due := m.movable(s.ID, clock.Until(until) < moveUnbegun)
		for _, r := range due[:min(len(due), moveAtOnce-underWay)] {
			underWay++
			r.busy.Store(true)
			go func() {
				moved := r.move(n)
				r.busy.Store(false)
				done <- moved
			}()
		}
		underWay -= awaitMoves(done, moveTick)
	}
}

// awaitMoves waits until a move has succeeded, for a tick at the most, and returns how
// many have ended. After one that failed the tick is waited out: otherwise a server whose
// runs have no target would be retried in a busy loop.
func awaitMoves(done <-chan bool, tick time.Duration) int {
	wait := time.NewTimer(tick)
	defer wait.Stop()
	for ended := 0; ; {
		select {
		case moved := <-done:
			ended++
			if moved {
				return ended
			}
		case <-wait.C:
			return ended
		}
	}
}

// stays reports whether a server is listed as one that does not leave: its notice was
// withdrawn, or it has come back.
func (g *Gateway) stays(server string) bool {
	s := g.view.Load().Find(server)
	return s != nil && !s.Leaving
}

// keepsMoving reports whether moveRuns goes on: the server has runs, is not gone
// and does not stay. Otherwise it is watched no more, until startMoving begins anew.
func (m *moves) keepsMoving(server string, gone time.Time, stays bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stays || len(m.runs[server]) == 0 || clock.Now().After(gone) {
		delete(m.watched, server)
		return false
	}
	return true
}

// movable returns the runs of a server that are not being moved, those to move first in
// front. Without all, these are only the ones whose first event has come.
func (m *moves) movable(server string, all bool) []*running {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*running
	var rows []move.Run
	for r := range m.runs[server] {
		if (all || r.begun.Load()) && !r.busy.Load() && r.phase() == move.Staying {
			list = append(list, r)
			rows = append(rows, move.Run{Priority: r.rank, ComputedTokens: r.call.PromptTokens, RemainingTokens: r.call.AnswerTokens, NoRetry: r.noRetry})
		}
	}
	sorted := make([]*running, 0, len(list))
	for _, i := range move.Order(rows) {
		sorted = append(sorted, list[i])
	}
	return sorted
}
