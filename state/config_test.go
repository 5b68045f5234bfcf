package state

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/weldstream/weldstream/protocol"
)

const goodConfig = `models:
  - {name: m, version: "1"}
adapters:
  - {name: a, model: m, version: "1"}
routes:
  - {name: r, model: m, adapter: a, workspaces: [w]}
services:
  - {name: s, not_repeatable: [/charge]}
workspaces:
  - {name: w, share: 1, key_sha256: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]}
`

const fleetConfig = `fleet:
  max_instances: 9
  classes: [{name: gpu, slots: 8, models: [m]}]
`

// TestConfigFaults checks that all errors of an apply are reported together, each with
// its file and line.
func TestConfigFaults(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(goodConfig, old, with, 1) }
	cases := []struct {
		name  string
		files []string
	}{
		{"good", []string{goodConfig}},
		{"two files", []string{goodConfig, "models:\n  - {name: other, version: \"1\"}\n"}},
		{"model declared twice", []string{goodConfig, "models:\n  - {name: m, version: \"2\"}\n"}},
		{"route to unknown model", []string{replace("r, model: m", "r, model: none")}},
		{"route to unknown adapter", []string{replace("adapter: a", "adapter: none")}},
		{"unknown workspace", []string{replace("workspaces: [w]", "workspaces: [w, other]")}},
		{"adapter of another model", []string{goodConfig, "models:\n  - {name: n, version: \"1\"}\nroutes:\n  - {name: q, model: n, adapter: a}\n"}},
		{"key used twice", []string{goodConfig, strings.Replace(goodConfig[strings.Index(goodConfig, "workspaces:\n"):], "name: w", "name: x", 1)}},
		{"zero share", []string{replace("share: 1", "share: 0")}},
		{"fleet", []string{goodConfig, fleetConfig}},
		{"two fleets", []string{goodConfig + fleetConfig, fleetConfig}},
		{"class with unknown model", []string{goodConfig, strings.Replace(fleetConfig, "[m]", "[none]", 1)}},
		{"class without slots", []string{goodConfig, strings.Replace(fleetConfig, "slots: 8", "slots: 0", 1)}},
		{"fleet without max_instances", []string{goodConfig, strings.Replace(fleetConfig, "max_instances", "max", 1)}},
		{"not YAML, and an unknown field", []string{"models: [", "modles: []\n"}},
		{"too large", []string{"# " + strings.Repeat("x", MaxConfigBytes)}},
	}
	var out strings.Builder
	for _, tt := range cases {
		out.WriteString("# " + tt.name + "\n")
		var files []ConfigFile
		for i, text := range tt.files {
			files = append(files, ConfigFile{Path: []string{"first.yaml", "second.yaml"}[i], Data: text})
		}
		c, faults := ParseConfig(files)
		for _, f := range faults {
			out.WriteString(f.Error() + "\n")
		}
		if (c == nil) != (len(faults) > 0) {
			t.Errorf("%s: a configuration must be returned if and only if there are no faults; got %d faults", tt.name, len(faults))
		}
	}
	goldie.New(t).Assert(t, "config_faults", []byte(out.String()))
}

// TestCanonical checks that the order of files and rows does not change the digest, and
// that the canonical form decodes to the same configuration.
func TestCanonical(t *testing.T) {
	one := ConfigFile{Path: "1", Data: "models:\n  - {name: b, version: \"1\"}\n"}
	two := ConfigFile{Path: "2", Data: "models:\n  - {name: a, version: \"1\"}\n"}
	c1, _ := ParseConfig([]ConfigFile{one, two})
	c2, _ := ParseConfig([]ConfigFile{two, one})
	d1 := protocol.DigestOf(Canonical(c1))
	if d2 := protocol.DigestOf(Canonical(c2)); d1 != d2 {
		t.Errorf("digests differ: %v and %v", d1, d2)
	}
	rev, err := ParseCanonical(3, Canonical(c1))
	if err != nil || rev.Digest != d1 || rev.Config.Models[0].Name != "a" {
		t.Errorf("decoded canonical form: %+v, %v", rev, err)
	}
}

// TestAuthenticate checks that a key authenticates only its own workspace, that a route
// is available only to its workspaces, and which calls may be repeated.
func TestAuthenticate(t *testing.T) {
	c, _ := ParseConfig([]ConfigFile{{Path: "1", Data: goodConfig}})
	ix := NewIndex(protocol.Revision{Number: 1, Config: c})
	if w := ix.Authenticate("test"); w == nil || w.Name != "w" {
		t.Errorf("valid key: got workspace %+v", w)
	}
	if w := ix.Authenticate("Test"); w != nil {
		t.Errorf("unknown key: got workspace %+v", w)
	}
	if ix.Route("r", "other") != nil || ix.Route("r", "w") == nil {
		t.Error("route must be available to its workspace and to no other")
	}
	s := ix.Service("s", "any")
	if RepeatableCall(s, "/charge/7") || !RepeatableCall(s, "/plate") {
		t.Error("only /charge must be not repeatable")
	}
}
