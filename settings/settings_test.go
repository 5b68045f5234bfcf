package settings

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const validSettings = `name: entry-1
domain: zone-a
caller: 127.0.0.1:7101
peer: 127.0.0.1:7201
admin: 127.0.0.1:7301
cluster:
  key_file: cluster.key
  operator_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
platform:
  address: 127.0.0.1:7400
`

// TestFaults checks that each kind of fault is reported with file, line and field.
func TestFaults(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(validSettings, old, with, 1) }
	cases := []struct{ name, text string }{
		{"good", validSettings},
		{"empty", ""},
		{"not YAML", "name: [entry"},
		{"two documents", validSettings + "---\nname: x\n"},
		{"unknown field", validSettings + "color: red\n"},
		{"unknown nested field", replace("platform:", "platform:\n  region: x")},
		{"missing name", replace("name: entry-1\n", "")},
		{"missing cluster key", replace("  key_file: cluster.key\n", "")},
		{"bad name", replace("entry-1", "\"entry 1\"")},
		{"host name for an IP number", replace("127.0.0.1:7101", "localhost:7101")},
		{"no port", replace("127.0.0.1:7201", "127.0.0.1")},
		{"digest too short", replace("aaaa", "")},
		{"text for a number", validSettings + "limits: {streams: many}\n"},
		{"number out of range", validSettings + "limits: {streams: 0}\n"},
		{"duration out of range", validSettings + "timeouts:\n  dial: 2h\n"},
		{"duration without unit", validSettings + "timeouts: {dial: 5}\n"},
		{"deadline above the longest", validSettings + "timeouts: {request: 2h, max_deadline: 1h}\n"},
		{"heartbeat too slow", validSettings + "replica: {heartbeat: 200ms, election: 300ms}\n"},
		{"replica without disk", replace("cluster:", "cluster:\n  replicas: [entry-1]")},
		{"level", validSettings + "log_level: loud\n"},
		{"several at once", replace("7101", "x") + "color: red\nlimits: {attempts: 99}\n"},
	}
	var out strings.Builder
	for _, tt := range cases {
		out.WriteString("# " + tt.name + "\n")
		_, faults := Parse("entry.yaml", []byte(tt.text))
		for _, f := range faults {
			out.WriteString(f.Error() + "\n")
		}
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}

// TestDefaults checks that a file with only the required fields gets all defaults and
// that each default is within its bounds.
func TestDefaults(t *testing.T) {
	s, faults := Parse("entry.yaml", []byte(validSettings))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Limits.Attempts != DefaultAttempts || s.Timeouts.Drain != DefaultDrain || s.Claims.Window != DefaultClaimWindow || s.Replica.Batch != DefaultCommitBatch {
		t.Errorf("defaults: %+v", s)
	}
	if s.IsReplica() {
		t.Error("IsReplica is true without any replicas")
	}
}
