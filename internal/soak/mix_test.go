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
// run beside, one a line. 329a1ae is the youngest that knows no starts of servers.
const earlierBuilds = "testdata/earlier-builds"

// buildEarlier builds the daemon of a commit of the repository's history.
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

// TestBuildsServeSideBySide plays faults on clusters in which an earlier build runs beside
// the present one, as while instances are replaced one after the other: in the gateways, in the
// control instances, in the first lives of all, and in their later ones. Nothing is broken, and
// every gateway serves again behind the faults.
//
// The fault that it was written for: a leader that names servers by their starts
// ("backend-3@1796270289842") told gateways of the earlier build so, which sent that on as
// the server's own name. Each server turned each request away ("the server turned the
// request away with status Misdirected Request"), and no path at any such gateway came back.
func TestBuildsServeSideBySide(t *testing.T) {
	commits, err := os.ReadFile(earlierBuilds)
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range strings.Fields(string(commits)) {
		t.Run(commit, func(t *testing.T) { besideEarlier(t, buildEarlier(t, commit)) })
	}
}

// besideEarlier plays each mix with an earlier build.
func besideEarlier(t *testing.T, earlier string) {
	for _, mix := range []BuildMix{MixGateways, MixControls, MixUpgrade, MixRollback} {
		t.Run(string(mix), func(t *testing.T) {
			mixed(t, earlier, mix, small, DrawPlan(102, 4*time.Second, small))
		})
	}
}

// mixed plays a plan on a cluster of two builds.
func mixed(t *testing.T, earlier string, mix BuildMix, size Size, plan Plan) {
	t.Helper()
	c, err := New(t.TempDir(), daemon, size)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.UseEarlierBuild(earlier, mix); err != nil {
		t.Fatal(err)
	}
	if playedOn(t, c, plan).Served == 0 {
		t.Error("nothing was served")
	}
}

// TestRelaysServeEarlierGateways plays a seed in three regions that served nothing behind
// its faults: relays were told servers by their names alone and told gateways so, which
// had the starts from the leader and took the names for older news ("list of servers", servers 0).
// The play shows that at times only, by which list a gateway was told last when the faults were over;
// control's TestRelaysAreToldStarts shows it each time.
func TestRelaysServeEarlierGateways(t *testing.T) {
	regional := Size{Controls: 3, Gateways: 3, Backends: 6, Regions: 3, Delay: 8 * time.Millisecond}
	mixed(t, buildEarlier(t, "94a15e6"), MixGateways, regional, DrawPlan(105, 10*time.Second, regional))
}
