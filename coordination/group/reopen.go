package group

import (
	"time"

	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/state/wal"
)

// reopenEvery is between two tries to go on after the disk failed.
const reopenEvery = 500 * time.Millisecond

// reopenIfDue opens the folder anew some time after the disk failed, as a
// restart of the process would: what is not on the disk is forgotten. A disk
// that was full for a while so costs a replica no more than that while.
func (g *Group) reopenIfDue() {
	if !g.failed || g.saving || g.now()-g.failedAt < reopenEvery {
		return
	}
	g.failedAt = g.now()
	_ = g.folder.Close() // Nothing is written to it any more.
	folder, loaded, err := wal.Open(g.dir, g.id.Name)
	if err != nil {
		g.log.Warn().Err(err).Msg("the data folder cannot be opened yet")
		return
	}
	if folder.ID() != g.id {
		g.log.Error().Msg("the data folder is another one: this replica votes no more until it is restarted")
		_ = folder.Close()
		return
	}
	g.folder, g.loaded = folder, loaded
	g.machine, g.applied = state.NewMachine(), 0
	if err := g.restoreLoaded(); err != nil {
		g.log.Error().Err(err).Msg("the snapshot cannot be read")
		return
	}
	g.failed = false
	g.start()
	g.log.Info().Msg("the data folder is open again")
}
