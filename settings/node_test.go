package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validNode = `name: gateway-1
domain: zone-a
caller: 10.0.0.1:80
ready: 10.0.0.1:81
peer: 10.0.0.1:7000
seeds: [10.0.1.1:90]
source: {address: 10.0.9.9:80, duties: [count, something_new]}
`

func loadNode(t *testing.T, text string) (*Node, []string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n, faults, err := LoadNode(file)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, f := range faults {
		lines = append(lines, strings.TrimPrefix(f.Error(), file))
	}
	return n, lines
}

// TestNode checks that omitted settings get their default and that an unknown duty
// is ignored.
func TestNode(t *testing.T) {
	n, faults := loadNode(t, validNode)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if n.Bounds.Revoke != DefaultRevoke || !n.Source.HasDuty("count") || n.Source.HasDuty("order") || n.Listen(n.Caller) != n.Caller {
		t.Errorf("%+v", n)
	}
	n.Bind = "10.0.0.9"
	if got := n.Listen(n.Caller); got != "10.0.0.9:80" {
		t.Errorf("listen address %s", got)
	}
	if len(n.CheckGateway("f")) > 0 || len(n.CheckControl("f")) != 2 {
		t.Errorf("faults as a gateway %v, as a control instance %v", n.CheckGateway("f"), n.CheckControl("f"))
	}
}

// TestNodeFaults checks that faults are reported with line and field.
func TestNodeFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"no port":           {"10.0.0.1:80", "10.0.0.1", ":3: caller"},
		"unknown":           {"domain:", "dom: x\ndomain:", ":2: dom"},
		"no seeds":          {"seeds: [10.0.1.1:90]", "seeds: []", ":6: seeds"},
		"region of its own": {"domain: zone-a", "domain: zone-a\nregion: north\ndomains: {zone-b: north}", ":4: domains"},
		"another region":    {"domain: zone-a", "domain: zone-a\nregion: north\ndomains: {zone-a: south}", ":3: region"},
		"no region":         {"domain: zone-a", "domain: zone-a\ndomains: {zone-a: south}", ":1: region"},
		"two regions":       {"domain: zone-a", "domain: zone-a\nregion: north\ndomains: {zone-a: north, zone-a: south}", ":4:"},
		"no name":           {"domain: zone-a", "domain: zone-a\nregion: north\ndomains: {zone-a: north, zone-b: 'a b'}", ":4: domains"},
		"too little memory": {"seeds:", "memory_mb: 20\nseeds:", ":6: memory_mb"},
		"too large a part":  {"seeds:", "memory: {part: 0.7}\nseeds:", ":6: memory.part"},
		"no descriptors":    {"seeds:", "descriptors: 300\nseeds:", ":6: descriptors"},
		"too short":         {"seeds:", "memory: {window: 1ms}\nseeds:", ":6: memory.window"},
		"too long":          {"seeds:", "bounds: {grace: 200h}\nseeds:", ":6: bounds.grace"},
	} {
		_, faults := loadNode(t, strings.Replace(validNode, c.old, c.replacement, 1))
		if len(faults) != 1 || !strings.HasPrefix(faults[0], c.want) {
			t.Errorf("%s: %v, want %q", name, faults, c.want)
		}
	}
}

// TestNodeDefaultsAreConsistent checks the relations between the defaults of timers.
func TestNodeDefaultsAreConsistent(t *testing.T) {
	n := NewNode()
	if n.Replication.Heartbeat*2 > n.Replication.Election || n.Bounds.Revoke < time.Second {
		t.Errorf("%+v", n)
	}
}

// TestNodeResourceLimits checks the limits for callers that follow from memory and descriptors,
// and that there is no limit without these settings.
func TestNodeResourceLimits(t *testing.T) {
	n := NewNode()
	if n.MaxCallerBytes() != 0 || n.MaxCallerConnections() != 0 {
		t.Errorf("without limits: %d bytes and %d connections, want 0", n.MaxCallerBytes(), n.MaxCallerConnections())
	}
	n.MemoryMB, n.Descriptors = 200, 4264
	if n.MaxCallerBytes() != 80<<20 || n.MaxCallerConnections() != 1800 || n.MaxServerConnections() != 1720 || n.MaxPeerConnections() != 240 {
		t.Errorf("%d bytes, and %d, %d and %d connections of callers, servers and other gateways", n.MaxCallerBytes(), n.MaxCallerConnections(), n.MaxServerConnections(), n.MaxPeerConnections())
	}
	if sum := n.MaxCallerConnections() + n.MaxServerConnections() + 2*n.MaxPeerConnections(); sum > n.Descriptors-reservedDescriptors {
		t.Errorf("%d connections altogether, with %d descriptors", sum, n.Descriptors)
	}
	n.Memory.Fraction = 0
	if n.MaxCallerBytes() != 0 {
		t.Errorf("memory.part 0: %d bytes, want no limit", n.MaxCallerBytes())
	}
}
