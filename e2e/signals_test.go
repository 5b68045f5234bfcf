package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestReloadDuringStart sends a reload request to a process that is still reading its settings,
// as an operator or a platform may at any time. It ended the process.
func TestReloadDuringStart(t *testing.T) {
	for _, role := range []string{"gateway", "control"} {
		t.Run(role, func(t *testing.T) {
			settings := filepath.Join(t.TempDir(), "settings.yaml")
			if err := syscall.Mkfifo(settings, 0o600); err != nil {
				t.Fatal(err)
			}
			p := start(t, role, "weldstreamd", role, "-settings", settings)
			file, err := os.OpenFile(settings, os.O_WRONLY, 0) // Returns once the process reads.
			if err != nil {
				t.Fatal(err)
			}
			p.signal(syscall.SIGHUP)
			if _, err := file.WriteString("no_such_setting: 1\n"); err != nil {
				t.Fatal(err)
			}
			if err := file.Close(); err != nil {
				t.Fatal(err)
			}
			if code := p.wait(); code != 2 || !strings.Contains(p.err.String(), "no_such_setting") {
				t.Errorf("exit code %d, want 2 for a fault in the settings: %s", code, p.err.String())
			}
		})
	}
}

// TestReloadIsIgnoredByEntry checks that a reload request does not end an entry instance, which
// reads its settings only at its start.
func TestReloadIsIgnoredByEntry(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	d := c.daemons[0]
	d.signal(syscall.SIGHUP)
	eventually(t, "the reload is logged", func() bool {
		if !d.alive() {
			t.Fatalf("the instance ended with code %d", d.code)
		}
		return strings.Contains(d.err.String(), "reload ignored")
	})
}
