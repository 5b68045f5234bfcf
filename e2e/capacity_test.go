package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// The benchmarks in this file measure each instance's use of CPU, memory and
// network at several cluster sizes. docs/CAPACITY.md uses the slopes. Run them
// with "make capacity".

const (
	clockTicks = 100 // clock ticks per second in /proc
	idleWindow = 6 * time.Second
)

// usage is an instance's resource use: totals since its start, and current memory.
type usage struct {
	cpu       time.Duration
	rss       int64 // bytes
	peerBytes int64 // bytes to and from other instances
	pollBytes int64 // control-plane bytes to and from the platform and the backend servers
}

func (d *daemon) usage() usage {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		d.c.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.rss = pages * int64(os.Getpagesize())
	var m map[string]struct{ Value int64 }
	d.adminGet("/metrics", &m)
	u.peerBytes = m["peers.bytes.sent"].Value + m["peers.bytes.received"].Value
	u.pollBytes = m["polls.bytes.sent"].Value + m["polls.bytes.received"].Value
	return u
}

// measureIdle reports the mean resource use per instance over idleWindow.
func (c *cluster) measureIdle(b *testing.B) {
	var before []usage
	for _, d := range c.daemons {
		before = append(before, d.usage())
	}
	began := time.Now()
	time.Sleep(idleWindow) // The measurement window.
	took := time.Since(began).Seconds()
	var cpu, peers, polls, rss float64
	for i, d := range c.daemons {
		u := d.usage()
		cpu += (u.cpu - before[i].cpu).Seconds()
		peers += float64(u.peerBytes - before[i].peerBytes)
		polls += float64(u.pollBytes - before[i].pollBytes)
		rss += float64(u.rss)
	}
	n := float64(len(c.daemons))
	b.ReportMetric(100*cpu/n/took, "cpu-%")
	b.ReportMetric(rss/n/(1<<20), "MB")
	b.ReportMetric(peers/n/took/1000, "peers-kB/s")
	b.ReportMetric(polls/n/took/1000, "polls-kB/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleByInstances varies the number of instances, with four backend servers.
func BenchmarkIdleByInstances(b *testing.B) {
	for _, n := range []int{3, 9, 18, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(b, clusterSpec{daemons: n, replicas: 3, engines: 4})
			c.apply(1, configText())
			for b.Loop() {
				c.measureIdle(b)
			}
		})
	}
}

// BenchmarkIdleByServers varies the number of backend servers, with three
// instances. Each stand-in is listed under many IDs.
func BenchmarkIdleByServers(b *testing.B) {
	for _, n := range []int{8, 64, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(b, clusterSpec{daemons: 3, engines: 8, extraEngineIDs: n - 8})
			c.apply(1, configText())
			eventually(b, "all servers have reported", func() bool { return c.reportedServers() == n })
			for b.Loop() {
				c.measureIdle(b)
			}
		})
	}
}

// reportedServers counts the backend servers whose load report the first
// instance has read.
func (c *cluster) reportedServers() int {
	var v struct {
		Servers []struct {
			Report protocol.LoadReport
		}
	}
	c.daemons[0].adminGet("/dump", &v)
	n := 0
	for _, s := range v.Servers {
		if len(s.Report.Models) > 0 {
			n++
		}
	}
	return n
}

// BenchmarkStreams keeps many streams open through one instance and reports the
// instance's resource use.
func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{0, 50, 116, 232} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(b, clusterSpec{daemons: 1, engines: 4, engineFlags: []string{"-token-time", "57ms", "-batch-time", "0s", "-max-batch", "100"}})
			c.apply(1, configText())
			for i := range n {
				s := c.daemons[0].openStream(completion("docket-summary", fmt.Sprint("held ", i), 20000, true))
				go func() {
					for s.next() {
					}
				}()
				b.Cleanup(s.close)
			}
			before := c.relayedTokens()
			began := time.Now()
			for b.Loop() {
				c.measureIdle(b)
			}
			b.ReportMetric(float64(c.relayedTokens()-before)/time.Since(began).Seconds(), "tokens/s")
		})
	}
}

func (c *cluster) relayedTokens() int64 {
	var m map[string]json.RawMessage
	c.daemons[0].adminGet("/metrics", &m)
	var row struct{ Count int64 }
	_ = json.Unmarshal(m["tokens.relayed"], &row)
	return row.Count
}
