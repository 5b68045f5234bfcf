package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// quarantineTick is between two looks at what gateways observed: with the time that
// observations are gathered for, and the gateways' next question, far within the 3 s in
// which all of them are to know.
const quarantineTick = 100 * time.Millisecond

// InstallQuarantine takes the quarantine of the log. The replica's loop calls it.
func (u *Uplink) InstallQuarantine(l protocol.QuarantineLog) { u.quarantined.Store(&l) }

// RunQuarantine has requests held, tried and freed while this instance leads.
func (u *Uplink) RunQuarantine(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, quarantineTick)
		term, ok := u.group.Vouches()
		if !ok {
			continue
		}
		if m := u.judge(term, clock.Now()); len(m.Hold)+len(m.Try)+len(m.Free) > 0 {
			u.logQuarantine(ctx, m)
		}
	}
	return nil
}

// judge returns what is to change in the quarantine now.
func (u *Uplink) judge(term uint64, now time.Time) protocol.QuarantineMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	return u.keeper.Decide(u.quarantined.Load(), now, u.clock.Now(now.Sub(u.began)))
}

// logQuarantine has a change logged. One that is not is decided anew in the next tick.
func (u *Uplink) logQuarantine(ctx context.Context, m protocol.QuarantineMsg) {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if _, err := u.group.Propose(limit, protocol.Command{Quarantine: &m}); err != nil {
		u.log.Warn().Err(err).Int("held", len(m.Hold)).Int("tried", len(m.Try)).Int("freed", len(m.Free)).Msg("change of the quarantine not logged")
		return
	}
	for _, h := range m.Hold {
		u.log.Warn().Stringer("fingerprint", h.Fingerprint).Int("servers", h.Servers).Msg("request held: servers ended under it")
	}
	for _, r := range m.Try {
		u.log.Info().Stringer("fingerprint", r.Fingerprint).Str("gateway", r.Gateway).Int("trials", r.Trials).Msg("held request may be tried")
	}
	for _, f := range m.Free {
		u.log.Info().Stringer("fingerprint", f).Msg("held request freed: it ended well")
	}
}

// leaves reports whether a server is listed as one that leaves. It needs u.mu.
func (u *Uplink) leaves(id string) bool {
	if u.view == nil {
		return false
	}
	s := u.view.Find(id)
	return s != nil && s.Leaving
}

// excuseLeaving has the ends of servers that are listed as leaving speak against nobody.
// It needs u.mu.
func (u *Uplink) excuseLeaving(list []protocol.Instance) {
	for i := range list {
		if list[i].Leaving {
			u.keeper.IgnoreCrash(list[i].ID)
		}
	}
}

// tellQuarantine tells an asker what it lacks of the quarantine, and of the requests whose
// good ends are to be told.
func tellQuarantine(l *protocol.QuarantineLog, watched []protocol.Fingerprint, held, mark uint64, reply *protocol.SyncReply) {
	reply.Quarantine = l.UpdateSince(held)
	reply.Watch = protocol.NewWatchUpdate(watched, mark)
}

// Quarantine returns the requests that are held, as dumps show them.
func (u *Uplink) Quarantine() []protocol.Quarantined {
	var list []protocol.Quarantined
	for _, q := range u.quarantined.Load().Entries {
		if q.Held {
			list = append(list, q)
		}
	}
	return list
}
