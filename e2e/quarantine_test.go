package e2e

import (
	"strings"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// crashWord is in the prompts that end the engine which begins to run them.
const crashWord = "the page that no engine reads"

// TestRequestThatEndsEngines sends a prompt that ends each engine which begins to run it: it
// costs as many engines as one request has attempts. Once the instances have heard of it
// they send it to none any more; the engines that are left serve all else.
func TestRequestThatEndsEngines(t *testing.T) {
	const engines, attempts = 7, 4
	c := newCluster(t, clusterSpec{daemons: 3, engines: engines, engine: []string{"-crash-word", crashWord}})
	c.apply(1, configText())
	bad, fine := completion("docket-summary", crashWord, 4, true), completion("docket-summary", "another page", 4, true)
	for _, d := range c.daemons {
		if got := d.send(fine); got.status != 200 {
			t.Fatalf("%s answered %d: %s", d.name, got.status, got.body)
		}
	}
	held := func(a answer) bool {
		return a.status == 503 && a.verdict == protocol.NotRun.String() && strings.Contains(string(a.body), string(protocol.CodeQuarantined))
	}
	if got := c.daemons[0].send(bad); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
		t.Errorf("the first send was answered %d, %s: %s", got.status, got.verdict, got.body)
	}
	for _, d := range c.daemons {
		eventually(t, d.name+" hears of it", func() bool { return strings.Contains(d.err.String(), `"message":"quarantine"`) })
		if got := d.send(bad); !held(got) {
			t.Errorf("%s answered %d, %s: %s", d.name, got.status, got.verdict, got.body)
		}
		if got := d.send(fine); got.status != 200 {
			t.Errorf("%s answered another prompt with %d: %s", d.name, got.status, got.body)
		}
	}
	left := 0
	for _, e := range c.engines {
		if e.alive() {
			left++
		}
	}
	if left < engines-attempts {
		t.Errorf("%d of %d engines are left", left, engines)
	}
}
