package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// operatorTimeout bounds each call of an operator: longer than an election takes.
	operatorTimeout = 4 * time.Second
	// slowPause is what a slow version adds to each answer: several times what a good
	// one takes.
	slowPause = 30 * time.Millisecond
	// firstVersion is that of the servers that are there at first.
	firstVersion = "v1"
	// rolloutLimit is within what a roll-out is to be over.
	rolloutLimit = 5 * time.Second
	// rolloutTime bounds the wait for its end: its limit, an election, and answers that
	// still run.
	rolloutTime = 40 * time.Second
	// trialShare and trialSlack are what a bad version may get, as the pages have it.
	trialShare, trialSlack = 0.1, 50
	// backTime is how long behind the badMost-th bad answer a version may get requests.
	backTime = 5 * time.Second
	badMost  = 50
	// drainTime is how long servers of a version that was turned back from are listed as
	// leaving.
	drainTime = 700 * time.Millisecond
)

// flaws are the versions of a soak, by turns at random: good ones first.
var flaws = []standin.Flaw{
	{},
	{Fail: 3},
	{Slow: slowPause},
	{Fail: 2, After: 12},
	{Fail: 2, Path: "/again/"},
}

// bad reports whether a version is one to turn back from.
func bad(f standin.Flaw) bool { return f != standin.Flaw{} }

// Rollouts is the operator and the platform's side of roll-outs.
type Rollouts struct {
	cluster *Cluster
	checker *Checker
	client  http.Client

	mu      sync.Mutex // mu guards old, which the end of a soak closes.
	old     []*standin.Backend
	version string // version is the one that serves.
	count   int
	next    int // next is the instance that is asked next.

	Completed  int
	RolledBack int
}

// NewRollouts returns what begins roll-outs on a cluster.
func NewRollouts(c *Cluster, k *Checker) *Rollouts {
	return &Rollouts{cluster: c, checker: k, client: http.Client{Timeout: operatorTimeout}, old: c.Backends, version: firstVersion}
}

// run begins roll-outs of drawn versions, one behind the other, until ctx ends.
func (r *Rollouts) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		r.One(flaws[rnd.IntN(len(flaws))])
	}
}

// address returns the next instance to ask.
func (r *Rollouts) address() string {
	list := r.cluster.Operators()
	r.next++
	return list[r.next%len(list)]
}

// One carries one roll-out out and returns how it ended.
func (r *Rollouts) One(f standin.Flaw) (state string) {
	r.count++
	version := fmt.Sprintf("v%d", r.count+1)
	servers, err := r.start(version, f)
	if err != nil {
		r.checker.breach("soak: %v", err)
		return ""
	}
	ordered := time.Now()
	if !r.begin(version) {
		r.stop(servers, 0)
		return ""
	}
	state = r.await(version)
	over := time.Now()
	r.check(version, f, state, ordered, over)
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == "completed" {
		r.Completed++
		r.stop(r.old, 0)
		r.old, r.version = servers, version
		return state
	}
	r.RolledBack++
	r.stop(servers, drainTime)
	return state
}

// start starts as many servers of a version as there are others.
func (r *Rollouts) start(version string, f standin.Flaw) ([]*standin.Backend, error) {
	var servers []*standin.Backend
	for i := range r.cluster.Size.Backends {
		b, err := standin.NewBackend(fmt.Sprintf("backend-%s-%d", version, i), standin.Service, fmt.Sprintf("zone-%d", i%3), r.cluster.Record)
		if err != nil {
			return nil, err
		}
		b.Version = version
		b.SetFlaw(f)
		servers = append(servers, b)
	}
	for _, b := range servers {
		r.cluster.API.Add(b)
	}
	return servers, nil
}

// stop ends servers, after they were listed as leaving for a while.
func (r *Rollouts) stop(servers []*standin.Backend, drain time.Duration) {
	if drain > 0 {
		for _, b := range servers {
			b.Drain()
		}
		time.Sleep(drain)
	}
	for _, b := range servers {
		r.cluster.API.Remove(b)
		b.Close()
	}
}

// begin sends the order until it is acknowledged, for as long as an order may be sent
// again.
func (r *Rollouts) begin(version string) bool {
	for end := time.Now().Add(backTime); time.Now().Before(end); time.Sleep(askPause) {
		switch status := standin.BeginRollout(&r.client, r.address(), version, rolloutLimit); {
		case status == http.StatusOK:
			return true
		case status != 0 && status < http.StatusInternalServerError:
			r.checker.breach("the order of %s was answered %d", version, status)
			return false
		}
	}
	return false
}

// await asks for the state until the roll-out is over. What was acknowledged must be
// read back, and what is over must stay so.
func (r *Rollouts) await(version string) string {
	for end := time.Now().Add(rolloutTime); time.Now().Before(end); time.Sleep(putPause / 3) {
		got, status := standin.FetchRollout(&r.client, r.address())
		if status == 0 || status >= http.StatusInternalServerError {
			continue
		}
		if status != http.StatusOK || got.TargetVersion != version {
			r.checker.breach("the roll-out to %s was acknowledged, and read back as %d, %+v", version, status, got)
			return ""
		}
		if got.State != "in_progress" {
			return got.State
		}
	}
	r.checker.breach("the roll-out to %s is not over after %v", version, rolloutTime)
	return ""
}

// check holds what a version got against what it may get.
func (r *Rollouts) check(version string, f standin.Flaw, state string, ordered, over time.Time) {
	if !bad(f) {
		return
	}
	if state == "completed" {
		r.checker.breach("%s is bad (%+v) and was completed", version, f)
	}
	runs := r.cluster.Record.RunsOfVersion(version)
	if most := trialShare*float64(r.cluster.Record.Count(ordered, over)) + trialSlack; float64(len(runs)) > most {
		r.checker.breach("%s is bad and got %d requests, %.0f are allowed", version, len(runs), most)
	}
}

// Finish checks that no bad version got a request long behind its bad answers, and
// ends the servers.
func (r *Rollouts) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.count {
		version := fmt.Sprintf("v%d", n+2)
		var last, badAt time.Time
		fails := 0
		for _, run := range r.cluster.Record.RunsOfVersion(version) {
			if run.Bad {
				if fails++; fails == badMost {
					badAt = run.At
				}
			}
			if run.At.After(last) {
				last = run.At
			}
		}
		if !badAt.IsZero() && last.Sub(badAt) > backTime {
			r.checker.breach("%s got a request %v behind its %dth bad answer", version, last.Sub(badAt), badMost)
		}
	}
	if r.version != firstVersion {
		for _, b := range r.old {
			b.Close()
		}
	}
}
