package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
)

// snapshotIfDue copies the state and starts a goroutine that encodes and writes it, so
// that the loop is not blocked.
func (g *Group) snapshotIfDue() {
	covered := g.replica.Status().Snapshot
	if g.savingSnapshot || g.failed || g.applied-covered < uint64(g.cfg.SnapshotEntries) {
		return
	}
	meta, ok := g.replica.SnapshotMetaAt(g.applied)
	if !ok {
		return
	}
	g.savingSnapshot = true
	image := g.machine.Image()
	go func() {
		data, err := image.Encode()
		if err == nil {
			err = g.folder.WriteSnapshot(meta, data)
		}
		g.snapshots <- savedSnapshot{meta: meta, err: err}
	}()
}

// rotate starts a new log segment after a snapshot has been written to disk.
func (g *Group) rotate(s savedSnapshot) {
	g.savingSnapshot = false
	if s.err != nil {
		g.failDisk(s.err)
		return
	}
	if g.failed || s.meta.Index <= g.replica.Status().Snapshot {
		return
	}
	g.flush() // Pending entries go into the old segment or, after the snapshot, into the new one.
	g.update(replicate.CompactedMsg{Snapshot: s.meta})
	if err := g.folder.Rotate(s.meta.Index, g.hardState, g.replica.Tail()); err != nil {
		g.failDisk(err)
		return
	}
	g.log.Debug().Uint64("index", s.meta.Index).Msg("snapshot taken")
}

// restore replaces state and log by a snapshot from the leader.
func (g *Group) restore(cmd replicate.RestoreCmd) {
	for _, p := range g.pending {
		g.hardState = p.Hard
	}
	g.pending = g.pending[:0]
	err := g.folder.SaveSnapshot(cmd.Snapshot, cmd.Data, g.hardState, nil)
	if err == nil {
		err = g.machine.Restore(cmd.Data)
	}
	if err != nil {
		g.failDisk(err)
		return
	}
	g.applied = cmd.Snapshot.Index
	g.log.Info().Uint64("index", cmd.Snapshot.Index).Msg("state restored from the leader's snapshot")
	g.reportChanges()
}

// sendSnapshot starts a goroutine that reads the latest snapshot from disk and sends it,
// so that the loop is not blocked.
func (g *Group) sendSnapshot(cmd replicate.SendSnapshotCmd) {
	folder, group, from := g.folder, g.folder.Group(), g.folder.ID()
	go func() {
		meta, data, ok, err := folder.ReadSnapshot()
		if err != nil || !ok {
			g.log.Warn().Err(err).Msg("no readable snapshot to send")
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
