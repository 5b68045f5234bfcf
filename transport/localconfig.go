package transport

import (
	"context"
	"net/http"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// LocalConfig is the [ConfigStore] of an instance without a group: it accepts
// configurations on its own.
type LocalConfig struct{ tables *state.Tables }

// NewLocalConfig returns a store over the tables.
func NewLocalConfig(t *state.Tables) *LocalConfig { return &LocalConfig{tables: t} }

// Leader implements [ConfigStore]. There is no leader.
func (c *LocalConfig) Leader() string { return "" }

// Remove implements [ConfigStore]. There are no replicas.
func (c *LocalConfig) Remove(context.Context, string) error { return ErrNoQuorum }

// Apply implements [ConfigStore].
func (c *LocalConfig) Apply(_ context.Context, number uint64, canonical []byte) (protocol.Revision, *protocol.Refusal) {
	rev, err := state.ParseCanonical(number, canonical)
	if err != nil {
		return protocol.Revision{}, badRequest("%v", err)
	}
	if c.tables.Install(rev) {
		return rev, nil
	}
	held, digest := c.tables.Revision()
	if held == number && digest == rev.Digest {
		return rev, nil
	}
	return protocol.Revision{}, protocol.NewRefusal(http.StatusConflict, protocol.CodeConflict, "number %d with digest %s is in force", held, digest.Short())
}
