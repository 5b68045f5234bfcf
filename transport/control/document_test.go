package control

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestInstallDoesNotBlock checks that Install returns immediately however long parsing takes,
// because the loop that calls it also sends the heartbeats, and that a request that arrives
// then is answered with the new document, not with the previous one.
func TestInstallDoesNotBlock(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 2)
	u := NewUplink(newFakeGroup(), noPeers, func(number uint64, data []byte) (*protocol.Catalog, error) {
		began <- struct{}{}
		<-release
		return parse(number, data)
	}, time.Second)
	installed := make(chan struct{})
	go func() {
		u.Install(5, []byte("document"))
		close(installed)
	}()
	select {
	case <-installed:
	case <-time.After(testTimeout):
		t.Fatal("Install blocks while a document is parsed")
	}
	answers := make(chan protocol.SyncReply, 2)
	for range 2 {
		go func() {
			var reply protocol.SyncReply
			if err := u.Sync(protocol.SyncMsg{Gateway: "g", Lister: 1}, &reply); err != nil {
				t.Error(err)
			}
			answers <- reply
		}()
	}
	<-began
	select {
	case got := <-answers:
		t.Errorf("answered with document %d before the newest was parsed", got.Number)
	default:
	}
	close(release)
	for range 2 {
		if got := <-answers; got.Number != 5 || len(got.Document) == 0 {
			t.Errorf("answered with document %d of %d bytes", got.Number, len(got.Document))
		}
	}
	if len(began) > 0 {
		t.Error("the document was parsed twice")
	}
}

// TestDocumentIsPreparedAhead checks that a document is prepared before the first request for
// it, and that an older one does not replace it.
func TestDocumentIsPreparedAhead(t *testing.T) {
	read := make(chan uint64, 2)
	u := NewUplink(newFakeGroup(), noPeers, func(number uint64, data []byte) (*protocol.Catalog, error) {
		read <- number
		return parse(number, data)
	}, time.Second)
	done := make(chan error, 1)
	go func() { done <- u.Run(t.Context()) }()
	u.Install(5, nil)
	if n := <-read; n != 5 {
		t.Errorf("parsed document %d, want 5", n)
	}
	u.Install(4, nil)
	if got := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Lister: 1}); got.Number != 5 {
		t.Errorf("answered with document %d", got.Number)
	}
}

// TestGatewayCountSurvivesLeaderChange checks that a new leader does not tell the first
// gateways that they are the only ones, since each would then use the share of all.
func TestGatewayCountSurvivesLeaderChange(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	u.Install(5, nil)
	if got := mustSync(t, u, protocol.SyncMsg{Gateway: "a", Gateways: 300, Lister: 1}).Gateways; got != 300 {
		t.Errorf("the first of 300 gateways received a count of %d", got)
	}
	u.mu.Lock()
	u.enteredAt = u.enteredAt.Add(-2 * gatewayTTL)
	u.common = commonReply{}
	u.mu.Unlock()
	if got := mustSync(t, u, protocol.SyncMsg{Gateway: "a", Gateways: 300, Lister: 1}).Gateways; got != 1 {
		t.Errorf("after the TTL, a single gateway received a count of %d", got)
	}
}
