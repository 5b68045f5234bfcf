package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// quarantineInterval is the interval at which the gateways' observations are evaluated.
// Together with the time for which observations are collected and the gateways' next request,
// it is far below the 3 s within which all gateways must know of a held request.
const quarantineInterval = 100 * time.Millisecond

// InstallQuarantine stores the quarantine of the log. The loop of the replica calls it.
func (u *Uplink) InstallQuarantine(l protocol.QuarantineLog) { u.quarantineLog.Store(&l) }

// RunQuarantine commits changes of the quarantine while this instance leads.
func (u *Uplink) RunQuarantine(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, quarantineInterval)
		term, ok := u.group.Vouches()
		if !ok {
			continue
		}
		if m := u.quarantineChanges(term, clock.Now()); len(m.Hold)+len(m.Try)+len(m.Free) > 0 {
			u.logQuarantine(ctx, m)
		}
	}
	return nil
}

// quarantineChanges returns the changes to make in the quarantine now.
func (u *Uplink) quarantineChanges(term uint64, now time.Time) protocol.QuarantineMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	return u.quarantine.Decide(u.quarantineLog.Load(), now, u.clock.Now(now.Sub(u.startedAt)))
}

// logQuarantine commits changes to the log. If that fails, the next tick decides again.
func (u *Uplink) logQuarantine(ctx context.Context, m protocol.QuarantineMsg) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := u.group.Propose(limit, protocol.Command{Quarantine: &m}); err != nil {
		u.log.Warn().Err(err).Int("held", len(m.Hold)).Int("tried", len(m.Try)).Int("freed", len(m.Free)).Msg("cannot append quarantine changes to the replicated log")
		return
	}
	for _, h := range m.Hold {
		u.log.Warn().Stringer("fingerprint", h.Fingerprint).Int("servers", h.Servers).Msg("request quarantined: servers crashed while running it")
	}
	for _, r := range m.Try {
		u.log.Info().Stringer("fingerprint", r.Fingerprint).Str("gateway", r.Gateway).Int("trials", r.Trials).Msg("trial of a quarantined request allowed")
	}
	for _, f := range m.Free {
		u.log.Info().Stringer("fingerprint", f).Msg("quarantined request released after a successful run")
	}
}

// isLeaving reports whether a server is listed as leaving. The caller holds u.mu.
func (u *Uplink) isLeaving(id string) bool {
	if u.view == nil {
		return false
	}
	s := u.view.Find(id)
	return s != nil && s.Leaving
}

// ignoreLeavingCrashes excludes the ends of servers that are listed as leaving from the
// evidence against requests. The caller holds u.mu.
func (u *Uplink) ignoreLeavingCrashes(list []protocol.Instance) {
	for i := range list {
		if list[i].Leaving {
			u.quarantine.IgnoreCrash(list[i].ID)
		}
	}
}

// fillQuarantine adds to an answer what its recipient lacks of the quarantine and of the
// requests whose successful ends it is to report.
func fillQuarantine(l *protocol.QuarantineLog, watched []protocol.Fingerprint, held, mark uint64, reply *protocol.SyncReply) {
	reply.Quarantine = l.UpdateSince(held)
	reply.Watch = protocol.NewWatchUpdate(watched, mark)
}

// Quarantine returns the held requests, for dumps.
func (u *Uplink) Quarantine() []protocol.Quarantined {
	var list []protocol.Quarantined
	for _, q := range u.quarantineLog.Load().Entries {
		if q.Held {
			list = append(list, q)
		}
	}
	return list
}
