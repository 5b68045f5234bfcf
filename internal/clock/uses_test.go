package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// steadyUses are the functions, by file, that may ask the steady clock or the time of day
// in the packages that keep leases, expiries and ages, and why.
var steadyUses = map[string]string{
	"coordination/group/group.go: Open":              timeOfDay,
	"coordination/group/group.go: write":             duration,
	"transport/backend/backend.go: open":             duration,
	"transport/backend/progress.go: writeAll":        timeOut,
	"transport/claim.go: requestClaim":               duration,
	"transport/conn_unix.go: Write":                  timeOut,
	"transport/control/rollouts.go: InstallRollouts": timeOfDay,
	"transport/engine.go: sendAndReadHeader":         timeOut,
	"transport/engine.go: readEvents":                timeOut,
	"transport/exchange.go: dispatch":                duration,
	"transport/forward/attempt.go: attempt":          duration,
	"transport/forward/attempt.go: leave":            duration,
	"transport/forward/attempt.go: lost":             duration,
	"transport/forward/attempt.go: whole":            duration,
	"transport/forward/crash.go: probe":              duration,
	"transport/forward/move_call.go: copy":           duration,
	"transport/forward/move_call.go: freeAt":         timeOut,
	"transport/forward/notice.go: askForNotice":      timeOut,
	"transport/forward/quarantine.go: refusedHeld":   timeOfDay,
	"transport/forward/stream.go: relay":             duration,
	"transport/forward/stream.go: streamEnded":       duration,
	"transport/groupclient.go: callReplica":          timeOut,
	"transport/links.go: newHandshake":               timeOut,
	"transport/peerconn.go: Write":                   timeOut,
	"transport/quarantine.go: Observe":               timeOfDay,
	"transport/quarantine.go: decide":                timeOfDay,
	"transport/quarantine.go: heldMsg":               timeOfDay,
	"transport/quarantine.go: probe":                 duration,
	"transport/service.go: runService":               timeOut,
	"transport/wire.go: call":                        timeOut,
}

// The reasons for which the steady clock, or the time of day, is asked.
const (
	duration  = "how long something took within the process"
	timeOut   = "a time-out of a timer or a connection, which the steady clock ends"
	timeOfDay = "the time of day, as the log, operators and callers have it"
)

// keepers are the packages that keep leases, expiries and ages.
var keepers = []string{"coordination/group", "transport", "transport/backend", "transport/control", "transport/forward", "transport/uplink"}

// TestAgesCountSuspensions checks that the packages which keep leases, expiries and ages
// ask this package for times, but for the uses that are listed with their reasons.
func TestAgesCountSuspensions(t *testing.T) {
	found := map[string]bool{}
	for _, dir := range keepers {
		files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, name := range steadyFuncs(t, file) {
				found[dir+"/"+filepath.Base(file)+": "+name] = true
			}
		}
	}
	for _, use := range slices.Sorted(maps.Keys(found)) {
		if steadyUses[use] == "" {
			t.Errorf("%s asks the steady clock, which stands still while the machine is suspended", use)
		}
	}
	for use := range steadyUses {
		if !found[use] {
			t.Errorf("%s is listed and asks no clock", use)
		}
	}
}

// steadyFuncs returns the functions of a file that call time.Now, time.Since or time.Until.
func steadyFuncs(t *testing.T, file string) []string {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, d := range tree.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		asks := false
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := s.X.(*ast.Ident)
			asks = asks || (ok && pkg.Name == "time" && (s.Sel.Name == "Now" || s.Sel.Name == "Since" || s.Sel.Name == "Until"))
			return true
		})
		if asks {
			names = append(names, f.Name.Name)
		}
	}
	return names
}
