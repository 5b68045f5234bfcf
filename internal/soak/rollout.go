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
	// operatorTimeout bounds each call of an operator; it is longer than an election.
	operatorTimeout = 4 * time.Second
	// slowPause is what a slow version adds to each answer: several times what a good version
	// takes.
	slowPause = 30 * time.Millisecond
	// firstVersion is the version of the initial servers.
	firstVersion = "v1"
	// rolloutLimit is the time limit of a roll-out.
	rolloutLimit = 5 * time.Second
	// rolloutTimeout bounds the wait for the end of a roll-out: its limit, an election, and
	// requests that still run.
	rolloutTimeout = 40 * time.Second
	// trialShare and trialSlack bound the requests that a bad version may get, as documented.
	trialShare, trialSlack = 0.1, 50
	// rollbackTime is how long after its badAnswerLimit-th bad answer a version may still get
	// requests.
	rollbackTime   = 5 * time.Second
	badAnswerLimit = 50
	// drainTime is how long servers of a rolled-back version are listed as leaving.
	drainTime = 700 * time.Millisecond
)

// flaws are the versions that a soak run chooses from at random; the first is good.
var flaws = []standin.Flaw{
	{},
	{Fail: 3},
	{Slow: slowPause},
	{Fail: 2, After: 12},
	{Fail: 2, Path: "/again/"},
}

// isBad reports whether a version must be rolled back.
func isBad(f standin.Flaw) bool { return f != standin.Flaw{} }

// Rollouts acts as the operator and the platform in roll-outs.
type Rollouts struct {
	cluster *Cluster
	checker *Checker
	client  http.Client

	prepare func(*standin.Backend) // prepare is called for each server of a new version before it is listed.

	mu      sync.Mutex // mu guards serving, whose servers Finish closes.
	serving []*standin.Backend
	version string // version is the version that serves.
	count   int
	next    int // next is the index of the control instance to call next.

	Completed  int
	RolledBack int
}

// NewRollouts returns the roll-outs of a cluster.
func NewRollouts(c *Cluster, k *Checker) *Rollouts {
	return &Rollouts{cluster: c, checker: k, client: http.Client{Timeout: operatorTimeout}, prepare: func(*standin.Backend) {}, serving: c.Backends, version: firstVersion}
}

// run performs roll-outs of random versions, one after the other, until ctx ends.
func (r *Rollouts) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		r.RunOne(flaws[rnd.IntN(len(flaws))])
	}
}

// address returns the address of the next control instance to call.
func (r *Rollouts) address() string {
	list := r.cluster.Operators()
	r.next++
	return list[r.next%len(list)]
}

// RunOne performs one roll-out and returns its final state.
func (r *Rollouts) RunOne(f standin.Flaw) (state string) {
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
		r.stop(r.serving, 0)
		r.serving, r.version = servers, version
		return state
	}
	r.RolledBack++
	r.stop(servers, drainTime)
	return state
}

// start starts as many servers of a version as the cluster has backends.
func (r *Rollouts) start(version string, f standin.Flaw) ([]*standin.Backend, error) {
	var servers []*standin.Backend
	for i := range r.cluster.Size.Backends {
		b, err := standin.NewBackend(fmt.Sprintf("backend-%s-%d", version, i), standin.Service, fmt.Sprintf("zone-%d", i%3), r.cluster.Record)
		if err != nil {
			return nil, err
		}
		b.Version = version
		b.SetFlaw(f)
		r.prepare(b)
		servers = append(servers, b)
	}
	for _, b := range servers {
		r.cluster.API.Add(b)
	}
	return servers, nil
}

// stop ends servers, after they were listed as leaving for the drain time.
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

// begin sends the order until it is acknowledged, for as long as an order may be repeated.
func (r *Rollouts) begin(version string) bool {
	for end := time.Now().Add(rollbackTime); time.Now().Before(end); time.Sleep(requestPause) {
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

// await polls the state until the roll-out is over. An acknowledged order must be
// readable.
func (r *Rollouts) await(version string) string {
	for end := time.Now().Add(rolloutTimeout); time.Now().Before(end); time.Sleep(putPause / 3) {
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
	r.checker.breach("the roll-out to %s is not over after %v", version, rolloutTimeout)
	return ""
}

// check compares the requests that a version got with what it may get.
func (r *Rollouts) check(version string, f standin.Flaw, state string, ordered, over time.Time) {
	if !isBad(f) {
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

// Finish checks that no bad version got a request long after its bad answers, and closes
// the servers.
func (r *Rollouts) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.count {
		version := fmt.Sprintf("v%d", n+2)
		var last, badAt time.Time
		fails := 0
		for _, run := range r.cluster.Record.RunsOfVersion(version) {
			if run.Bad {
				if fails++; fails == badAnswerLimit {
					badAt = run.At
				}
			}
			if run.At.After(last) {
				last = run.At
			}
		}
		if !badAt.IsZero() && last.Sub(badAt) > rollbackTime {
			r.checker.breach("%s got a request %v behind its %dth bad answer", version, last.Sub(badAt), badAnswerLimit)
		}
	}
	if r.version != firstVersion {
		for _, b := range r.serving {
			b.Close()
		}
	}
}
