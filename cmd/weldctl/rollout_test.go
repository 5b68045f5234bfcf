package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/control"
)

// fakeControl is a control instance whose roll-out advances by one stage per request.
type fakeControl struct {
	mu       sync.Mutex
	stages   []protocol.RolloutStage
	requests []string
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rollout := protocol.Rollout{Number: 4, Service: "s", Version: "v2", LimitMS: 60_000, Stage: f.stages[0], Reason: "as told"}
	if len(f.stages) > 1 {
		f.stages = f.stages[1:]
	}
	f.requests = append(f.requests, r.Method+" "+r.URL.Path)
	switch {
	case r.Method == http.MethodGet:
		list := control.RolloutList{Rollouts: []protocol.Rollout{rollout}}
		if !rollout.Stage.Final() {
			list.Progress = []protocol.RolloutProgress{{Rollout: rollout, LeftMS: 41_230, Share: 0.045, New: 40, NewFailed: 1, Old: 800, OldFailed: 3, Failures: 0.25, OldRunning: 17}}
		}
		_ = json.NewEncoder(w).Encode(list)
	case r.Method == http.MethodPost && strings.Contains(r.URL.Path, "rollouts"):
		_ = json.NewEncoder(w).Encode(rollout)
	default:
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(protocol.NewRefusal(404, protocol.CodeNotFound, "there is no such roll-out").Body())
	}
}

// TestRollout checks the output and the exit code of each subcommand.
func TestRollout(t *testing.T) {
	trial, moving, completed, rolledBack := protocol.RolloutTrial, protocol.RolloutMoving, protocol.RolloutCompleted, protocol.RolloutRolledBack
	for name, c := range map[string]struct {
		args   string
		stages []protocol.RolloutStage
		code   int
	}{
		"begin":                 {"begin -service s -version v2 -within 1m", []protocol.RolloutStage{trial}, exitOK},
		"begin_without_version": {"begin -service s -within 1m", []protocol.RolloutStage{trial}, exitUsage},
		"begin_and_watch":       {"begin -service s -version v2 -within 1m -watch", []protocol.RolloutStage{trial, trial, moving, completed}, exitOK},
		"status":                {"status", []protocol.RolloutStage{trial}, exitOK},
		"status_json":           {"status -json", []protocol.RolloutStage{rolledBack}, exitOK},
		"watch_rolled_back":     {"watch s", []protocol.RolloutStage{trial, rolledBack}, exitFailed},
		"watch_unknown":         {"watch t", []protocol.RolloutStage{trial}, exitFailed},
		"abort_none":            {"abort s", []protocol.RolloutStage{rolledBack}, exitFailed},
		"no_verb":               {"", []protocol.RolloutStage{trial}, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeControl{stages: c.stages}
			server := httptest.NewServer(f)
			defer server.Close()
			args := []string{"rollout"}
			if words := strings.Fields(c.args); len(words) > 0 {
				args = append(args, words[0], "-control", strings.TrimPrefix(server.URL, "http://"))
				args = append(args, words[1:]...)
			}
			var out, errs bytes.Buffer
			code := run(env{out: &out, err: &errs, getenv: func(string) string { return "" }}, args)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := out.String()
			if c.code != exitUsage {
				text += errs.String()
			}
			goldie.New(t).Assert(t, "rollout_"+name, []byte(text))
		})
	}
}
