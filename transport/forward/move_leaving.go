package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// moveFromLeaving records which servers a new list reports as leaving, and starts to move
// their runs.
func (g *Gateway) moveFromLeaving(v *place.View, now time.Time) {
	m := &g.moves
	if m.mover == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followRenamedServers(v)
	notices := map[string]departureNotice{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if !s.Leaving || s.LeftMS <= 0 {
			continue
		}
		notices[s.ID] = departureNotice{at: now, end: now.Add(time.Duration(s.LeftMS) * time.Millisecond)}
		if first, ok := m.notices[s.ID]; ok {
			notices[s.ID] = first
		}
	}
	m.notices = notices
	for id := range m.lastWeights {
		if v.Find(id) == nil {
			delete(m.lastWeights, id)
		}
	}
	for i := range v.Servers {
		g.startMoving(&v.Servers[i])
	}
}

// followRenamedServers updates runs whose server changed its ID without a restart: leaders of
// different builds may or may not report its incarnation. The caller must hold m.mu.
func (m *runMoves) followRenamedServers(v *place.View) {
	unlisted := map[string]protocol.Incarnation{} // unlisted are the unlisted servers of runs, by name.
	for id := range m.runs {
		if v.Find(id) == nil {
			incarnation := protocol.ParseIncarnation(id)
			unlisted[incarnation.Name] = incarnation
		}
	}
	for i := 0; len(unlisted) > 0 && i < len(v.Servers); i++ {
		now := protocol.ParseIncarnation(v.Servers[i].ID)
		before, ok := unlisted[now.Name]
		if ok && (before.Start == 0 || now.Start == 0) {
			m.rekey(before.String(), v.Servers[i].ID)
		}
	}
}

// rekey moves the runs of a server from its former ID to its current one. The caller must
// hold m.mu.
func (m *runMoves) rekey(before, now string) {
	if m.runs[now] == nil {
		m.runs[now] = map[*activeRun]struct{}{}
	}
	for r := range m.runs[before] {
		r.listedID = now
		m.runs[now][r] = struct{}{}
	}
	delete(m.runs, before)
}

// startMoving starts moveRuns for a leaving server that has runs, unless it is already
// active. The caller must hold runMoves.mu.
func (g *Gateway) startMoving(s *place.Server) {
	m := &g.moves
	n, leaves := m.notices[s.ID]
	if !leaves || m.moving[s.ID] || len(m.runs[s.ID]) == 0 {
		return
	}
	m.moving[s.ID] = true
	go g.moveRuns(s, n)
}

// moveRuns moves the runs of one server until none is left or the server is gone.
func (g *Gateway) moveRuns(s *place.Server, n departureNotice) {
	m, deadline := &g.moves, n.end
	g.log.Info().Str("server", s.ID).Int64("left", clock.Until(deadline).Milliseconds()).Msg("server leaves, its runs are moved")
	if g.cfg.MoveLead > 0 {
		time.Sleep(min(clock.Until(deadline)-g.cfg.MoveLead, maxMoveDelay))
	}
	inProgress, done := 0, make(chan bool, maxConcurrentMoves)
	for m.continueMoving(s.ID, deadline.Add(departureGrace), g.listedAsStaying(s.ID)) {
		movable := m.movable(s.ID, clock.Until(deadline) < unbegunMoveLead)
		for _, r := range movable[:min(len(movable), maxConcurrentMoves-inProgress)] {
			inProgress++
			r.moving.Store(true)
			go func() {
				moved := r.move(n)
				r.moving.Store(false)
				done <- moved
			}()
		}
		inProgress -= awaitMoves(done, moveInterval)
	}
}

// awaitMoves waits until a move has succeeded, for at most a tick, and returns how many moves
// have ended. After a failed move it waits for the rest of the tick: otherwise a server whose
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

// listedAsStaying reports whether a server is listed as not leaving: its notice was
// withdrawn, or it has returned.
func (g *Gateway) listedAsStaying(server string) bool {
	s := g.view.Load().Find(server)
	return s != nil && !s.Leaving
}

// continueMoving reports whether moveRuns goes on: the server has runs, is not gone and is
// still leaving. Otherwise it marks moveRuns as ended, so that startMoving can start it
// again.
func (m *runMoves) continueMoving(server string, gone time.Time, stays bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stays || len(m.runs[server]) == 0 || clock.Now().After(gone) {
		delete(m.moving, server)
		return false
	}
	return true
}

// movable returns the runs of a server that are not being moved, in the order in which they
// are to be moved. Unless all is set, it returns only runs whose first event has arrived.
func (m *runMoves) movable(server string, all bool) []*activeRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*activeRun
	var rows []move.Run
	for r := range m.runs[server] {
		if (all || r.begun.Load()) && !r.moving.Load() && r.phase() == move.Staying {
			list = append(list, r)
			rows = append(rows, move.Run{Priority: r.priority, ComputedTokens: r.call.PromptTokens, RemainingTokens: r.call.AnswerTokens, NoRetry: r.noRetry})
		}
	}
	sorted := make([]*activeRun, 0, len(list))
	for _, i := range move.Order(rows) {
		sorted = append(sorted, list[i])
	}
	return sorted
}
