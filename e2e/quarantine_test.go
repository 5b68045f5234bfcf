package e2e

import (
	"strings"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// crashWord is the text in a prompt that crashes an engine when it starts the
// request.
const crashWord = "the page that no engine reads"

// TestRequestThatCrashesEngines sends a prompt that crashes every engine that starts
// it. It may crash no more engines than a request has attempts. After that, all
// instances quarantine the request and refuse it, and the remaining engines serve other
// requests.
func TestRequestThatCrashesEngines(t *testing.T) {
	const engines, attempts = 7, 4
	c := newCluster(t, clusterSpec{daemons: 3, engines: engines, engineFlags: []string{"-crash-word", crashWord}})
	c.apply(1, configText())
	bad, fine := completion("docket-summary", crashWord, 4, true), completion("docket-summary", "another page", 4, true)
	for _, d := range c.daemons {
		if got := d.send(fine); got.status != 200 {
			t.Fatalf("%s answered %d: %s", d.name, got.status, got.body)
		}
	}
	isQuarantined := func(a answer) bool {
		return a.status == 503 && a.verdict == protocol.NotRun.String() && strings.Contains(string(a.body), string(protocol.CodeQuarantined))
	}
	if got := c.daemons[0].send(bad); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
		t.Errorf("the first send was answered %d, %s: %s", got.status, got.verdict, got.body)
	}
	for _, d := range c.daemons {
		eventually(t, d.name+" quarantines the request", func() bool { return strings.Contains(d.err.String(), `"message":"quarantine"`) })
		if got := d.send(bad); !isQuarantined(got) {
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
		t.Errorf("only %d of %d engines are still running", left, engines)
	}
}
