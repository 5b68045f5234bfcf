package control

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestInstallHoldsNobodyUp checks that an accepted document is taken at once, however
// long reading it takes, as the loop that takes it also sends the heartbeats; and that
// a question which comes then is answered with that document, not with the one before.
func TestInstallHoldsNobodyUp(t *testing.T) {
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
	case <-time.After(patience):
		t.Fatal("an instance that reads a document takes nothing else meanwhile")
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
		t.Errorf("answered with document %d before the newest was read", got.Number)
	default:
	}
	close(release)
	for range 2 {
		if got := <-answers; got.Number != 5 || len(got.Document) == 0 {
			t.Errorf("answered with document %d of %d bytes", got.Number, len(got.Document))
		}
	}
	if len(began) > 0 {
		t.Error("the document was read twice")
	}
}

// TestDocumentIsReadAhead checks that a document is made ready before anybody asks
// for it, and that an older one takes no newer one's place.
func TestDocumentIsReadAhead(t *testing.T) {
	read := make(chan uint64, 2)
	u := NewUplink(newFakeGroup(), noPeers, func(number uint64, data []byte) (*protocol.Catalog, error) {
		read <- number
		return parse(number, data)
	}, time.Second)
	done := make(chan error, 1)
	go func() { done <- u.Run(t.Context()) }()
	u.Install(5, nil)
	if n := <-read; n != 5 {
		t.Errorf("read document %d", n)
	}
	u.Install(4, nil)
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "g", Lister: 1}); got.Number != 5 {
		t.Errorf("answered with document %d", got.Number)
	}
}

// TestGatewaysAreCountedAcrossLeaders checks that a new leader does not tell the first
// gateways that ask it that they are alone: each would take what is meant for all.
func TestGatewaysAreCountedAcrossLeaders(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	u.Install(5, nil)
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "a", Gateways: 300, Lister: 1}).Gateways; got != 300 {
		t.Errorf("the first of 300 is told of %d", got)
	}
	u.mu.Lock()
	u.entered = u.entered.Add(-2 * gatewayKept)
	u.common = common{}
	u.mu.Unlock()
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "a", Gateways: 300, Lister: 1}).Gateways; got != 1 {
		t.Errorf("long after, one that is alone is told of %d", got)
	}
}
