package group

import (
	"time"

	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/state/wal"
)

// reopenInterval is the time between attempts to reopen the data folder after the disk
// failed.
const reopenInterval = 500 * time.Millisecond

// reopenIfDue reopens the data folder some time after the disk failed and discards all
// state that is not on disk, as a restart of the process would. So a replica whose disk
// was full for a time recovers by itself once there is space again.
func (g *Group) reopenIfDue() {
	if !g.failed || g.savingSnapshot || g.now()-g.failedAt < reopenInterval {
		return
	}
	g.failedAt = g.now()
	_ = g.folder.Close() // No writes follow, so an error does not matter.
	folder, loaded, err := wal.Open(g.dir, g.id.Name)
	if err != nil {
		g.log.Warn().Err(err).Msg("cannot reopen the data folder; will retry")
		return
	}
	if folder.ID() != g.id {
		g.log.Error().Msg("the data folder holds another replica's identity; this replica does not vote until it is restarted")
		_ = folder.Close()
		return
	}
	g.folder, g.loaded = folder, loaded
	g.machine, g.applied = state.NewMachine(), 0
	if err := g.restoreLoaded(); err != nil {
		g.log.Error().Err(err).Msg("cannot restore the snapshot")
		return
	}
	g.failed = false
	g.start()
	g.log.Info().Msg("data folder reopened")
}
