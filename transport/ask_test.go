package transport

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestFirstAnswers checks which peers are asked, and when the answers are returned, while some
// peers fail, answer late or are suspended.
func TestFirstAnswers(t *testing.T) {
	const limit = time.Second
	const suspended = time.Hour
	const ms = time.Millisecond
	type peer struct {
		after time.Duration
		fails bool
	}
	for _, tt := range []struct {
		name  string
		peers []peer
		want  int
		got   []string
		after time.Duration
		asked int
	}{
		{"the first answers", []peer{{after: 10 * ms}, {after: 10 * ms}}, 1, []string{"a"}, 10 * ms, 1},
		{"the first fails", []peer{{after: 10 * ms, fails: true}, {after: 10 * ms}, {}}, 1, []string{"b"}, 20 * ms, 2},
		{"the first is suspended", []peer{{after: suspended}, {after: 10 * ms}, {}}, 1, []string{"b"}, nextPeerDelay + 10*ms, 2},
		{"two are suspended", []peer{{after: suspended}, {after: suspended}, {after: 10 * ms}}, 1, []string{"c"}, 2*nextPeerDelay + 10*ms, 3},
		{"the first is late", []peer{{after: nextPeerDelay + 10*ms}, {after: 50 * ms}}, 1, []string{"a"}, nextPeerDelay + 10*ms, 2},
		{"two wanted, one suspended", []peer{{after: 10 * ms}, {after: suspended}, {after: 10 * ms}}, 2, []string{"a", "c"}, nextPeerDelay + 20*ms, 3},
		{"all fail", []peer{{fails: true}, {fails: true}}, 1, nil, 0, 2},
		{"all are suspended", []peer{{after: suspended}, {after: suspended}}, 1, nil, limit, 2},
		{"no peers", nil, 1, nil, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			end := make(chan struct{})
			defer close(end)
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var peers []state.MemberRow
			rows := map[string]peer{}
			for i, p := range tt.peers {
				name := string(rune('a' + i))
				rows[name] = p
				peers = append(peers, state.MemberRow{Member: protocol.Member{Name: name}})
			}
			asked := make(chan string, len(peers))
			began := time.Now()
			got := firstAnswers(ctx, peers, tt.want, func(row state.MemberRow) (string, bool) {
				asked <- row.Name
				select {
				case <-time.After(rows[row.Name].after):
				case <-end:
				}
				return row.Name, !rows[row.Name].fails
			})
			if after := time.Since(began); !slices.Equal(got, tt.got) || after != tt.after || len(asked) != tt.asked {
				t.Errorf("%s: got %v after %v from %d peers, want %v after %v from %d", tt.name, got, after, len(asked), tt.got, tt.after, tt.asked)
			}
		})
	}
}
