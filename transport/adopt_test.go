package transport

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
)

// scriptedClaims is a claims group whose transfers fail a number of times before they answer.
type scriptedClaims struct {
	NoClaims
	failures  int
	granted   bool
	transfers int
	finished  []protocol.Verdict
}

func (c *scriptedClaims) Transfer(context.Context, protocol.TransferClaimMsg) (bool, error) {
	c.transfers++
	if c.transfers <= c.failures {
		return false, ErrNoQuorum
	}
	return c.granted, nil
}

func (c *scriptedClaims) Finish(_ context.Context, m protocol.FinishClaimMsg) error {
	c.finished = append(c.finished, m.Verdict)
	return nil
}

// TestTakeOverClaim checks that a transfer of unknown outcome is repeated until the request's
// deadline, and that one that was refused is not. One failed transfer, as during an election,
// lost the request.
func TestTakeOverClaim(t *testing.T) {
	for name, tt := range map[string]struct {
		failures  int
		granted   bool
		left      time.Duration
		want      bool
		transfers int
		finished  int
	}{
		"granted":                    {0, true, time.Minute, true, 1, 0},
		"refused":                    {0, false, time.Minute, false, 1, 0},
		"granted after two failures": {2, true, time.Minute, true, 3, 0},
		"refused after a failure":    {1, false, time.Minute, false, 2, 0},
		"failed at the deadline":     {1, true, 0, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := &scriptedClaims{failures: tt.failures, granted: tt.granted}
			g := &Gateway{claims: c, transfer: c, log: zerolog.Nop(), settings: &settings.Settings{}}
			x := g.newExchange(&protocol.Request{Deadline: clock.Now().Add(tt.left)}, "id")
			got := x.takeOverClaim(protocol.Owner{Instance: "former"})
			g.recording.Wait()
			if got != tt.want || c.transfers != tt.transfers || len(c.finished) != tt.finished {
				t.Errorf("took over %v after %d transfers, %d outcomes recorded; want %v, %d, %d", got, c.transfers, len(c.finished), tt.want, tt.transfers, tt.finished)
			}
		})
	}
}
