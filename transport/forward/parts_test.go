package forward

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestPartLimitsStandaloneQuota checks that a gateway admits a workspace's requests without the
// leader only by the part that the leader allotted it, and names the part when it asks again.
func TestPartLimitsStandaloneQuota(t *testing.T) {
	w := newTestGateway(t)
	w.backend("a", answerOK)
	w.install(protocol.PathRoute{Name: "r", Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 1, Burst: 1}, protocol.WorkspaceSpec{Name: "v", Keys: []string{"l"}, Rate: 1, Burst: 1})
	w.g.mu.Lock()
	w.g.allowance.ReplyOverdue(clock.Now().Add(-time.Hour))
	w.g.mu.Unlock()
	if got := w.ask("Key: k"); got.status != 429 {
		t.Errorf("without a part: got %+v", got)
	}
	if m := w.g.ReportPart(); m.Holds != 0 {
		t.Errorf("the gateway names a part of %v", m.Holds)
	}
	w.g.HandlePartReply(&protocol.PartReply{Leads: true, Part: 0.25, Lasts: time.Hour}, clock.Now())
	if m := w.g.ReportPart(); m.Holds != 0.25 {
		t.Errorf("the gateway names a part of %v, want 0.25", m.Holds)
	}
	if got := w.ask("Key: l"); got.status != 200 {
		t.Errorf("with a part: got %+v", got)
	}
	w.g.HandlePartReply(&protocol.PartReply{Leads: true, Part: 0.25, Lasts: time.Hour}, clock.Now().Add(-time.Hour))
	if m := w.g.ReportPart(); m.Holds != 0 {
		t.Errorf("the gateway names a part of %v that has expired", m.Holds)
	}
}
