package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// quickEngine is an engine whose answers cost almost no CPU time, so that the
// benchmarks measure the instances. Its events are encoded once and written as
// fast as they are read; or, if pace is set, one event per pace, with the time of
// the write in its text.
type quickEngine struct {
	address string
	events  [][]byte
	pace    time.Duration
}

func newQuickEngine(b *testing.B, tokens int, pace time.Duration) *quickEngine {
	q := &quickEngine{pace: pace}
	for i := range tokens {
		q.events = append(q.events, quickEvent(" token", i, i == tokens-1))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(protocol.LoadReport{Server: "quick", Models: []string{"docket-8b"}, Slots: 100_000})
	})
	mux.HandleFunc("POST /v1/completions", q.complete)
	srv := httptest.NewServer(mux)
	b.Cleanup(srv.Close)
	q.address = strings.TrimPrefix(srv.URL, "http://")
	return q
}

func quickEvent(text string, i int, last bool) []byte {
	c := protocol.Chunk{ID: "cmpl-0123456789abcdef", Object: "text_completion", Model: "docket-8b"}
	choice := protocol.ChunkChoice{Text: &text}
	if stop := "length"; last {
		choice.FinishReason = &stop
	}
	c.Choices = []protocol.ChunkChoice{choice}
	c.Usage = &protocol.Usage{PromptTokens: 900, CompletionTokens: i + 1, TotalTokens: 901 + i}
	data, _ := json.Marshal(c)
	return append(append([]byte("data: "), data...), "\n\n"...)
}

func (q *quickEngine) complete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if q.pace > 0 {
		q.paced(w, r, out)
		return
	}
	for _, e := range q.events {
		if _, err := w.Write(e); err != nil {
			return
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// paced writes one event per pace, with the time of the write in its text.
func (q *quickEngine) paced(w http.ResponseWriter, r *http.Request, out *http.ResponseController) {
	tick := time.NewTicker(q.pace)
	defer tick.Stop()
	for i := range q.events {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
		text := "@" + strconv.FormatInt(time.Now().UnixNano(), 10) + "@"
		if _, err := w.Write(quickEvent(text, i, i == len(q.events)-1)); err != nil || out.Flush() != nil {
			return
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// quickRead opens a stream over a new connection, reads it to the end and calls
// onLine for each line.
func quickRead(address, model string, i int, onLine func(line []byte)) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"model":%q,"prompt":"speed %d","max_tokens":100000,"stream":true}`, model, i)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", workspaceKey, len(body), body)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 64<<10), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			return nil
		}
		onLine(line)
	}
}

// BenchmarkRelay relays answers at full speed through one or several instances,
// and reports tokens per second and the instances' CPU time per token.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const tokens, streams, rounds = 4000, 32, 4
			q := newQuickEngine(b, tokens, 0)
			c := speedCluster(b, n, q)
			for b.Loop() {
				before := c.cpu()
				began := time.Now()
				var wg sync.WaitGroup
				var seen atomic.Int64
				for i := range n * streams {
					wg.Go(func() {
						for range rounds {
							count := int64(0)
							err := quickRead(c.daemons[i%n].caller, "docket-summary", i, func(line []byte) {
								if bytes.HasPrefix(line, []byte("data: {")) {
									count++
								}
							})
							if err != nil {
								b.Error(err)
							}
							seen.Add(count)
						}
					})
				}
				wg.Wait()
				took := time.Since(began)
				if want := int64(n * streams * rounds * tokens); seen.Load() != want {
					b.Errorf("%d of %d tokens arrived", seen.Load(), want)
				}
				b.ReportMetric(float64(seen.Load())/took.Seconds(), "tokens/s")
				b.ReportMetric(float64((c.cpu()-before).Nanoseconds())/float64(seen.Load()), "cpu-ns/token")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// speedCluster starts instances with a quickEngine as their only engine.
func speedCluster(b *testing.B, daemons int, q *quickEngine) *cluster {
	c := newCluster(b, clusterSpec{daemons: daemons, replicas: 1})
	c.listed = append(c.listed, protocol.Instance{ID: "quick", Kind: protocol.InstanceEngine, Address: q.address, Domain: domain(0), Class: "gpu-small"})
	c.publishInstances()
	c.apply(1, configText())
	return c
}

// cpu returns the total CPU time of all instances.
func (c *cluster) cpu() time.Duration {
	var sum time.Duration
	for _, d := range c.daemons {
		sum += d.usage().cpu
	}
	return sum
}

// BenchmarkAdded measures the latency of a token from the engine's write to the
// caller's read, directly and through an instance, at the required number of
// streams per instance and their token interval. The streams either send in step,
// like those of one engine, or spread over the interval, like those of many engines.
func BenchmarkAdded(b *testing.B) {
	const streams, tokens, pace = 116, 100, 57 * time.Millisecond
	for _, way := range []string{"direct/in-step", "instance/in-step", "direct/spread", "instance/spread"} {
		b.Run(way, func(b *testing.B) {
			q := newQuickEngine(b, tokens, pace)
			address, model := q.address, "docket-8b"
			if strings.HasPrefix(way, "instance") {
				c := speedCluster(b, 1, q)
				address, model = c.daemons[0].caller, "docket-summary"
			}
			for b.Loop() {
				var mu sync.Mutex
				var times []time.Duration
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() {
						if strings.HasSuffix(way, "spread") {
							time.Sleep(time.Duration(i) * pace / streams) // Shifts the stream's phase.
						}
						err := quickRead(address, model, i, func(line []byte) {
							parts := bytes.Split(line, []byte("@"))
							if len(parts) != 3 {
								return
							}
							sent, _ := strconv.ParseInt(string(parts[1]), 10, 64)
							mu.Lock()
							defer mu.Unlock()
							times = append(times, time.Since(time.Unix(0, sent)))
						})
						if err != nil {
							b.Error(err)
						}
					})
				}
				wg.Wait()
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(times[len(times)*95/100].Microseconds()), "p95-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
