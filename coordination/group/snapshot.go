package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
)

// snapshotIfDue copies the state and has it encoded and written beside the
// loop, which goes on meanwhile.
func (g *Group) snapshotIfDue() {
	covered := g.replica.Status().Snapshot
	if g.saving || g.failed || g.applied-covered < uint64(g.cfg.SnapshotEntries) {
		return
	}
	meta, ok := g.replica.SnapshotMetaAt(g.applied)
	if !ok {
		return
	}
	g.saving = true
	image := g.machine.Image()
	go func() {
		data, err := image.Encode()
		if err == nil {
			err = g.folder.WriteSnapshot(meta, data)
		}
		g.snapshots <- savedSnapshot{meta: meta, err: err}
	}()
}

// rotate begins a new segment behind a snapshot that is on disk.
func (g *Group) rotate(s savedSnapshot) {
	g.saving = false
	if s.err != nil {
		g.fail(s.err)
		return
	}
	if g.failed || s.meta.Index <= g.replica.Status().Snapshot {
		return
	}
	g.flush() // What is pending belongs into the old segment, or into the rest.
	g.update(replicate.CompactedMsg{Snapshot: s.meta})
	if err := g.folder.Rotate(s.meta.Index, g.hard, g.replica.Tail()); err != nil {
		g.fail(err)
		return
	}
	g.log.Debug().Uint64("index", s.meta.Index).Msg("snapshot taken")
}

// restore takes a leader's snapshot in place of state and log.
func (g *Group) restore(cmd replicate.RestoreCmd) {
	for _, p := range g.pending {
		g.hard = p.Hard
	}
	g.pending = g.pending[:0]
	err := g.folder.SaveSnapshot(cmd.Snapshot, cmd.Data, g.hard, nil)
	if err == nil {
		err = g.machine.Restore(cmd.Data)
	}
	if err != nil {
		g.fail(err)
		return
	}
	g.applied = cmd.Snapshot.Index
	g.log.Info().Uint64("index", cmd.Snapshot.Index).Msg("state restored from the leader's snapshot")
	g.reportChanges()
}

// sendSnapshot reads the latest snapshot from disk and sends it, beside the
// loop.
func (g *Group) sendSnapshot(cmd replicate.SendSnapshotCmd) {
	folder, group, from := g.folder, g.folder.Group(), g.folder.ID()
	go func() {
		meta, data, ok, err := folder.ReadSnapshot()
		if err != nil || !ok {
			g.log.Warn().Err(err).Msg("no snapshot to send")
			return
		}
		g.sender.Send(group, replicate.Message{
			Kind:     replicate.Snapshot,
			From:     from,
			To:       cmd.To,
			Term:     cmd.Term,
			Round:    cmd.Round,
			Promise:  cmd.Promise,
			Snapshot: meta,
			Data:     data,
		})
	}()
}
