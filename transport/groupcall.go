package transport

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
)

// groupCall is one call in progress, which several replicas may have been asked to execute.
type groupCall struct {
	client  *GroupClient
	method  string
	args    any
	answers chan replicaAnswer
	open    map[string]bool // open holds the replicas that were asked and have not answered.
	trace   callTrace
}

// replicaAnswer is the outcome of asking one replica.
type replicaAnswer struct {
	name  string
	reply GroupReply
	err   error
	took  time.Duration
}

// ask makes the call to a replica in the background. The answer is dropped if ctx has ended
// by then.
func (q *groupCall) ask(ctx context.Context, name string) {
	q.open[name] = true
	began := clock.Now()
	go func() {
		reply, err := q.client.callReplica(ctx, name, q.method, q.args)
		select {
		case q.answers <- replicaAnswer{name, reply, err, clock.Since(began)}:
		case <-ctx.Done():
		}
	}()
}

// await waits until a replica has executed the call, the named one has answered without
// executing it, or the time is up. It reports whether the call was executed.
func (q *groupCall) await(ctx context.Context, name string, limit time.Duration) (GroupReply, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case a := <-q.answers:
			delete(q.open, a.name)
			if a.err == nil {
				return a.reply, true
			}
			q.trace.add(a.name, a.took, a.err)
			if a.name == name {
				return GroupReply{}, false
			}
		case <-timer.C:
			return GroupReply{}, false
		case <-ctx.Done():
			return GroupReply{}, false
		}
	}
}

// callTrace records the failed calls to the replicas, for the log.
type callTrace struct {
	began    time.Time
	replicas map[string]*replicaTrace
}

// replicaTrace summarizes the failed calls to one replica.
type replicaTrace struct {
	Calls     int    `json:"calls"`
	LongestMS int64  `json:"longest_ms"`
	LastError string `json:"last_error"`
}

func (t *callTrace) add(name string, took time.Duration, err error) {
	if t.replicas == nil {
		t.replicas = map[string]*replicaTrace{}
	}
	row := t.replicas[name]
	if row == nil {
		row = &replicaTrace{}
		t.replicas[name] = row
	}
	row.Calls++
	row.LongestMS = max(row.LongestMS, took.Milliseconds())
	row.LastError = err.Error()
}
