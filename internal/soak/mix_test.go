package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// earlierBuilds is a file with the commits of earlier releases that the present build must
// run beside, one per line. 329a1ae is the latest that does not know the start times of
// servers.
const earlierBuilds = "testdata/earlier-builds"

// buildEarlier builds the daemon of a commit in the repository's history.
func buildEarlier(t *testing.T, commit string) string {
	t.Helper()
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("not run: the repository's history lacks %s", commit) // "make unit" prints it.
	}
	dir := t.TempDir()
	archive := exec.Command("git", "-C", "../..", "archive", "--output", filepath.Join(dir, "source.tar"), commit)
	unpack := exec.Command("tar", "-xf", "source.tar")
	unpack.Dir = dir
	build := exec.Command("go", "build", "-o", "weldstreamd", "./cmd/weldstreamd")
	build.Dir = dir
	for _, c := range []*exec.Cmd{archive, unpack, build} {
		c.Stderr = os.Stderr
		if err := c.Run(); err != nil {
			t.Fatalf("%v: %v", c.Args, err)
		}
	}
	return filepath.Join(dir, "weldstreamd")
}

// TestBuildsServeSideBySide injects faults into clusters that run an earlier build beside
// the present one, as during a rolling update: in the gateways, in the control instances,
// at the first start of all processes, and at later starts. No guarantee may be broken,
// and every gateway must serve again after the faults. It guards against this fault: a
// leader that names servers with their start times ("backend-3@1796270289842") sent such
// names to gateways of the earlier build, which passed them on as the server's own name.
// Each server then rejected every request ("the server turned the request away with status
// Misdirected Request"), and no path at any such gateway recovered.
func TestBuildsServeSideBySide(t *testing.T) {
	commits, err := os.ReadFile(earlierBuilds)
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range strings.Fields(string(commits)) {
		t.Run(commit, func(t *testing.T) { runAllMixes(t, buildEarlier(t, commit)) })
	}
}

// runAllMixes runs a plan with each mix of an earlier build and the present one.
func runAllMixes(t *testing.T, earlier string) {
	for _, mix := range []BuildMix{MixGateways, MixControls, MixUpgrade, MixRollback} {
		t.Run(string(mix), func(t *testing.T) {
			runMixedBuilds(t, earlier, mix, small, DrawPlan(102, 4*time.Second, small))
		})
	}
}

// runMixedBuilds runs a plan on a cluster of two builds.
func runMixedBuilds(t *testing.T, earlier string, mix BuildMix, size Size, plan Plan) {
	t.Helper()
	c, err := New(t.TempDir(), daemon, size)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.UseEarlierBuild(earlier, mix); err != nil {
		t.Fatal(err)
	}
	if runPlanOn(t, c, plan).Served == 0 {
		t.Error("no request was served")
	}
}

// TestRelaysServeEarlierGateways runs a seed in three regions that served nothing after
// its faults: relays got servers by name only and passed them on to gateways, which had
// the start times from the leader and took the names for older data ("list of servers",
// servers 0). The run fails only at times, depending on which list a gateway got last
// before the faults ended; TestRelaysReceiveIncarnations of package control fails each time.
func TestRelaysServeEarlierGateways(t *testing.T) {
	regional := Size{Controls: 3, Gateways: 3, Backends: 6, Regions: 3, Delay: 8 * time.Millisecond}
	runMixedBuilds(t, buildEarlier(t, "94a15e6"), MixGateways, regional, DrawPlan(105, 10*time.Second, regional))
}
