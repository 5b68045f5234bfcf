package e2e

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

// configInput is an operation on the accepted configuration: an apply of a
// number with one of several contents, or a read confirmed by a quorum.
type configInput struct {
	read    bool
	number  uint64
	content string
}

type configOutput struct {
	accepted bool
	number   uint64
	digest   protocol.Digest
	unknown  bool // unknown is set if there was no answer: the operation may have taken effect, or may later.
}

type configState struct {
	number uint64
	digest protocol.Digest
}

// configModel is the sequential specification: number n+1 is accepted after n,
// a resend of the current configuration succeeds, and reads return the latest.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(configState), in.(configInput), out.(configOutput)
		if i.read {
			return o.unknown || (o.number == s.number && o.digest == s.digest), s
		}
		digest := protocol.DigestOf([]byte(i.content))
		if i.number == s.number+1 {
			s = configState{number: i.number, digest: digest}
		}
		accepted := i.number == s.number && digest == s.digest
		return o.unknown || o.accepted == accepted, s
	},
}

// historyRecorder records the clients' operations and their results.
type historyRecorder struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
}

// record runs an operation and records it, unless do reports false: then nothing
// was executed, or there is no result to check.
func (h *historyRecorder) record(client int, in configInput, do func() (configOutput, bool)) (configOutput, bool) {
	call := time.Since(h.began).Nanoseconds()
	out, made := do()
	back := time.Since(h.began).Nanoseconds()
	if out.unknown {
		back = math.MaxInt64 // It may take effect at any later time.
	}
	if made {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: back})
	}
	return out, made
}

// TestHistoryIsLinearizable runs concurrent applies and confirmed reads through
// all replicas while leaders are killed and restarted, or suspended and resumed,
// and checks the history with porcupine.
func TestHistoryIsLinearizable(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1})
	c.awaitMembers()
	c.leader()
	h := &historyRecorder{began: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for client := range 5 {
		wg.Go(func() { c.clientLoop(h, client, stop) })
	}
	for round := range 4 {
		victim := c.leader()
		mark := h.len()
		if round%2 == 0 {
			victim.kill()
		} else {
			victim.signal(syscall.SIGSTOP)
		}
		c.leader(victim)
		eventually(t, "clients got on", func() bool { return h.len() > mark+20 })
		if round%2 == 0 {
			victim.launch()
		} else {
			victim.signal(syscall.SIGCONT)
		}
		mark = h.len()
		eventually(t, "clients got on", func() bool { return h.len() > mark+20 })
	}
	close(stop)
	wg.Wait()
	h.boundUnknown()
	result := porcupine.CheckOperationsTimeout(configModel, h.ops, time.Minute)
	t.Logf("%d operations: %v", len(h.ops), result)
	if result != porcupine.Ok {
		t.Errorf("porcupine result for the history of %d operations: %v", len(h.ops), result)
		for _, op := range h.ops {
			t.Logf("%d: %+v = %+v from %d to %d", op.ClientId, op.Input, op.Output, op.Call, op.Return)
		}
	}
}

// TestUnknownIsBounded checks that boundUnknown keeps the check fast for histories
// with many unanswered applies, and its result correct: a linearizable history
// passes, and one in which an unanswered apply would have to take effect after a
// later number was seen fails.
func TestUnknownIsBounded(t *testing.T) {
	content := func(i int) string { return fmt.Sprint("content ", i) }
	apply := func(client int, n uint64, c string, call, back int64, out configOutput) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: configInput{number: n, content: c}, Call: call, Return: back, Output: out}
	}
	read := func(n uint64, c string, at int64) porcupine.Operation {
		return porcupine.Operation{Input: configInput{read: true}, Call: at, Return: at + 1, Output: configOutput{number: n, digest: protocol.DigestOf([]byte(c))}}
	}
	const numbers = 40
	h := &historyRecorder{}
	for n := range uint64(numbers) { // Each number is set by one of three applies, none of which got an answer.
		at := int64(n) * 10
		for i := range 3 {
			h.ops = append(h.ops, apply(1+i, n+1, content(i), at, math.MaxInt64, configOutput{unknown: true}))
		}
		if (n+1)%4 == 0 { // No operation sees the numbers in between.
			h.ops = append(h.ops, read(n+1, content(int(n)%3), at+5))
		}
	}
	whole := slices.Clone(h.ops)
	h.boundUnknown()
	if got := porcupine.CheckOperationsTimeout(configModel, h.ops, time.Minute); got != porcupine.Ok {
		t.Errorf("porcupine result for a linearizable history: %v", got)
	}
	h.ops = append(whole, read(numbers-4, content((numbers-5)%3), numbers*10))
	h.boundUnknown()
	if got := porcupine.CheckOperationsTimeout(configModel, h.ops, time.Minute); got != porcupine.Illegal {
		t.Errorf("porcupine result for a read of an older number after a newer one: %v", got)
	}
}

// boundUnknown limits the interval of unanswered applies by what other operations
// saw. With an open end, each of them would double the cost of the check, which then
// times out on histories of a few hundred operations. An apply of number n can only
// take effect before the first operation that saw n or a higher number returned. It
// can be dropped if no operation saw such a number, if it was called after that
// operation returned, if another content won, or if an equal apply was called before.
func (h *historyRecorder) boundUnknown() {
	winners := map[uint64]protocol.Digest{}
	for _, op := range h.ops {
		in, out := op.Input.(configInput), op.Output.(configOutput)
		switch {
		case out.unknown:
		case in.read:
			winners[out.number] = out.digest
		case out.accepted:
			winners[in.number] = protocol.DigestOf([]byte(in.content))
		}
	}
	slices.SortFunc(h.ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	kept := map[configInput]bool{}
	bounded := make([]porcupine.Operation, 0, len(h.ops))
	for _, op := range h.ops {
		in, out := op.Input.(configInput), op.Output.(configOutput)
		if out.unknown {
			seen, ok := h.firstSeen(in.number)
			winner, known := winners[in.number]
			if !ok || op.Call > seen || kept[in] || (known && winner != protocol.DigestOf([]byte(in.content))) {
				continue
			}
			kept[in], op.Return = true, seen
		}
		bounded = append(bounded, op)
	}
	h.ops = bounded
}

// firstSeen returns the earliest return time of the operations that saw the number
// or a higher one. ok is false if there is none.
func (h *historyRecorder) firstSeen(number uint64) (at int64, ok bool) {
	for _, op := range h.ops {
		in, out := op.Input.(configInput), op.Output.(configOutput)
		saw := uint64(0)
		switch {
		case out.unknown:
		case in.read:
			saw = out.number
		case out.accepted:
			saw = in.number
		}
		if saw >= number && (!ok || op.Return < at) {
			at, ok = op.Return, true
		}
	}
	return at, ok
}

func (h *historyRecorder) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// clientLoop applies one of the next numbers, reapplies the current one, or reads,
// at random, until stop is closed.
func (c *cluster) clientLoop(h *historyRecorder, client int, stop chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(client), 3))
	links := transport.NewLinks(fmt.Sprint("client-", client), []byte(clusterKey), time.Second, zerolog.Nop())
	known := uint64(0)
	for {
		select {
		case <-stop:
			return
		default:
		}
		address := c.daemons[rnd.IntN(len(c.daemons))].listenPeer.Load().(string)
		in := configInput{read: rnd.IntN(3) == 0}
		if !in.read {
			in.number = max(1, known+uint64(rnd.IntN(3)))
			in.content = fmt.Sprintf(`{"models":[{"name":"m","version":"%d"}]}`, rnd.IntN(3))
		}
		if out, asked := c.callReplica(links, address, h, client, in); asked {
			known = max(known, out.number)
		}
	}
}

// callReplica makes one call. It is not recorded if the replica did not execute it,
// for example because it is not the leader, or if it is a read without an answer.
func (c *cluster) callReplica(links *transport.Links, address string, h *historyRecorder, client int, in configInput) (configOutput, bool) {
	return h.record(client, in, func() (configOutput, bool) {
		var reply transport.GroupReply
		var err error
		if in.read {
			err = links.Call(address, "Group.Confirm", true, &reply, time.Second)
		} else {
			err = links.Call(address, "Group.Propose", protocol.Command{Apply: &protocol.ApplyConfigMsg{Number: in.number, Config: []byte(in.content)}}, &reply, time.Second)
		}
		switch {
		case err == nil && reply.Failed == transport.GroupNotExecuted:
			return configOutput{}, false
		case err != nil || reply.Failed != transport.GroupOK:
			return configOutput{unknown: true}, !in.read
		case !in.read:
			return configOutput{accepted: reply.Result.Apply.Accepted, number: reply.Result.Apply.Number}, true
		}
		out := configOutput{number: reply.Number}
		if reply.Number > 0 {
			out.digest = protocol.DigestOf(reply.Config)
		}
		return out, true
	})
}
