package e2e

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

// The benchmarks in this file measure real processes. They are not part of the
// tests; run them with "make measure".

// reportSpread reports the median, minimum and maximum of times in milliseconds.
func reportSpread(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(times[len(times)/2]), name+"-median-ms")
	b.ReportMetric(ms(times[0]), name+"-least-ms")
	b.ReportMetric(ms(times[len(times)-1]), name+"-most-ms")
}

// BenchmarkClaims commits claims from concurrent clients on three replicas, with
// group commit and with one claim per fsync.
func BenchmarkClaims(b *testing.B) {
	for _, bc := range []struct {
		name  string
		batch int
	}{{"group-commit", 512}, {"one-by-one", 1}} {
		for _, askers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("%s/askers=%d", bc.name, askers), func(b *testing.B) {
				measureClaims(b, bc.batch, askers)
			})
		}
	}
}

func measureClaims(b *testing.B, batch, askers int) {
	c := newCluster(b, clusterSpec{daemons: 3, engines: 1, settings: fmt.Sprintf("replica: {batch: %d}\n", batch)})
	c.apply(1, configText())
	leader := c.leader()
	links := transport.NewLinks("measure", []byte(clusterKey), time.Second, zerolog.Nop())
	times := hdr.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	jobs := make(chan int)
	for range askers {
		wg.Go(func() {
			for i := range jobs {
				began := time.Now()
				var reply transport.GroupReply
				cmd := protocol.Command{Claim: &protocol.ClaimMsg{
					Key:      protocol.Key{Workspace: "w", ID: fmt.Sprint(b.N, "-", i)},
					IssuedAt: began.UnixMilli(),
					Owner:    protocol.Owner{Instance: "measure", Request: fmt.Sprint(i)},
					Limits:   protocol.ClaimLimits{WindowMS: 3600000, SkewMS: 60000, Count: 1 << 20},
				}}
				err := links.Call(leader.listenPeer.Load().(string), "Group.Propose", cmd, &reply, 10*time.Second)
				if err != nil || reply.Result.Claim == nil || reply.Result.Claim.State != protocol.ClaimGranted {
					b.Errorf("claim: %v %+v", err, reply)
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	b.ResetTimer()
	for i := range b.N {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "median-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkInForce measures the time from an accepted apply until the last of
// nine instances has it in force.
func BenchmarkInForce(b *testing.B) {
	c := newCluster(b, clusterSpec{daemons: 9, replicas: 3, engines: 1})
	c.apply(1, configText())
	var times []time.Duration
	for i := range b.N {
		number := i + 2
		if err := c.daemons[i%9].applyDirect(number, numberedConfig(number)); err != nil {
			b.Fatal(err)
		}
		began := time.Now()
		for _, d := range c.daemons {
			for d.dump().Number < uint64(number) {
			}
		}
		times = append(times, time.Since(began))
	}
	reportSpread(b, "in-force", times)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLeaderless measures the time from killing the leader until a new
// leader commits.
func BenchmarkLeaderless(b *testing.B) {
	c := newCluster(b, clusterSpec{daemons: 3, engines: 1})
	c.apply(1, configText())
	var times []time.Duration
	for i := range b.N {
		old := c.leader()
		next := c.survivor(old)
		began := time.Now()
		old.kill()
		if err := next.applyDirect(i+2, numberedConfig(i+2)); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(began))
		old.launch()
		c.awaitNumber(uint64(i + 2))
		c.awaitMembers()
	}
	reportSpread(b, "kill-to-commit", times)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRestart measures the restart of three instances after 700
// configuration changes, with and without snapshots, until all are ready.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{64, 1000000} {
		b.Run(fmt.Sprintf("snapshot-entries=%d", entries), func(b *testing.B) {
			c := newCluster(b, clusterSpec{daemons: 3, engines: 1, settings: fmt.Sprintf("replica: {snapshot_entries: %d}\n", entries)})
			c.apply(1, configText())
			for n := 2; n <= manyChanges; n++ {
				if err := c.daemons[n%3].applyDirect(n, numberedConfig(n)); err != nil {
					b.Fatal(err)
				}
			}
			var times []time.Duration
			for range b.N {
				for _, d := range c.daemons {
					d.kill()
				}
				began := time.Now()
				for _, d := range c.daemons {
					d.launch()
				}
				for _, d := range c.daemons {
					d.awaitReady()
				}
				times = append(times, time.Since(began))
			}
			reportSpread(b, "restart", times)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkReclaim counts the tokens that engines recompute for an answer that
// loses its server halfway: by an announced reclaim (KV cache imported), by a kill
// (resumed after the prefix), and by a kill of the server and the instance
// (generated again from the prompt).
func BenchmarkReclaim(b *testing.B) {
	const prompt, tokens = 400, 100
	for _, way := range []string{"announced", "killed", "from-the-prompt"} {
		b.Run(way, func(b *testing.B) {
			again := 0
			for range b.N {
				again += measureReclaim(b, way, prompt, tokens)
			}
			b.ReportMetric(float64(again)/float64(b.N), "tokens-again")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureReclaim(b *testing.B, way string, words, tokens int) int {
	c := newCluster(b, clusterSpec{daemons: 2, engines: 2, engineFlags: []string{"-token-time", "10ms"}})
	c.apply(1, configText())
	prompt := ""
	for i := range words {
		prompt += fmt.Sprintf("word%d ", i)
	}
	a := completion("docket-summary", prompt, tokens, true).with(protocol.HeaderKey, "measured")
	s := c.daemons[1].openStream(a)
	for range tokens / 2 {
		s.next()
	}
	e := c.engineOf("measured")
	switch way {
	case "announced":
		c.reclaim(standin.ReclaimOrder{Instance: e.id, InMS: 3000})
	case "killed":
		e.kill()
	case "from-the-prompt":
		e.kill()
		c.daemons[1].kill()
	}
	text := s.readRest()
	delivered := tokens / 2
	if !s.done {
		rest := c.daemons[0].resume(a, s)
		text += rest.readRest()
		_, _ = fmt.Sscan(s.lastID, &delivered)
	}
	if text != standin.AnswerText(prompt, tokens) {
		b.Fatal("the answer differs from the expected text")
	}
	again := 0
	for _, o := range c.engines {
		if o != e {
			again += o.engineStats().Recomputed
		}
	}
	if way == "from-the-prompt" {
		again = words + delivered // The prompt, and every token that the caller had received.
	}
	return again
}
