package transport

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/state"
)

// nextPeerDelay is how long the instances asked so far may leave a call unanswered before
// another one is asked as well: many round trips and syncs within a region, and a small
// part of the time that a caller waits.
const nextPeerDelay = 200 * time.Millisecond

// firstAnswers calls peers in order until want of them have answered successfully, and
// returns these answers. It starts with want calls. Whenever a call fails, or no call has
// ended for nextPeerDelay, the next peer is called as well. Calls that are still open on
// return are abandoned: they may take effect later.
func firstAnswers[T any](ctx context.Context, peers []state.MemberRow, want int, call func(state.MemberRow) (T, bool)) []T {
	type result struct {
		value T
		ok    bool
	}
	results := make(chan result, len(peers))
	next, open := 0, 0
	start := func() {
		if next == len(peers) {
			return
		}
		peer := peers[next]
		next++
		open++
		go func() {
			value, ok := call(peer)
			results <- result{value, ok}
		}()
	}
	for range want {
		start()
	}
	slow := time.NewTicker(nextPeerDelay)
	defer slow.Stop()
	var answers []T
	for len(answers) < want && open > 0 {
		select {
		case r := <-results:
			open--
			if r.ok {
				answers = append(answers, r.value)
			} else {
				start()
			}
		case <-slow.C:
			start()
		case <-ctx.Done():
			return answers
		}
		slow.Reset(nextPeerDelay)
	}
	return answers
}
