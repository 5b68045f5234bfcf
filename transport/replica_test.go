package transport

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/coordination/roundtrip"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// farReplica answers its first call at once and delays the second until the third
// has arrived, like a path with a long round trip.
type farReplica struct {
	rounds chan uint64
	third  chan struct{}
}

// Step receives messages like [GroupService].
func (r *farReplica) Step(args StepArgs, done *bool) error {
	*done = true
	round := args.Messages[0].Round
	r.rounds <- round
	switch round {
	case 2:
		<-r.third
	case 3:
		close(r.third)
	}
	return nil
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// TestCallsArePipelined checks that messages to a replica are sent before the
// previous call is answered, over the same connection.
func TestCallsArePipelined(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: ln}
	far := &farReplica{rounds: make(chan uint64, 8), third: make(chan struct{})}
	server := NewLinks("far", []byte(echoKey), time.Second, zerolog.Nop())
	if err := server.Register("Group", far); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), counted) }()
	links := NewLinks("near", []byte(echoKey), time.Second, zerolog.Nop())
	t.Cleanup(links.closeAll)
	sender := NewReplicaSender(t.Context(), state.NewTables(), links,
		WithAddresses(func(string) (string, bool) { return ln.Addr().String(), true }))
	for round := uint64(1); round <= 3; round++ {
		sender.Send(7, replicate.Message{To: protocol.ReplicaID{Name: "far", Incarnation: 1}, Round: round})
		select {
		case got := <-far.rounds:
			if got != round {
				t.Fatalf("got round %d, want %d", got, round)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("round %d did not arrive", round)
		}
	}
	if n := counted.accepted.Load(); n != 1 {
		t.Errorf("%d connections, want 1: the previous call was abandoned", n)
	}
}

// TestHeartbeatsAreSmall checks that the unused fields of a heartbeat and its
// reply are not encoded: without load, these messages are most of the traffic
// between regions.
func TestHeartbeatsAreSmall(t *testing.T) {
	id := protocol.ReplicaID{Name: "10.0.0.1:7201", Incarnation: 1 << 62}
	for name, m := range map[string]replicate.Message{
		"heartbeat": {Kind: replicate.Append, From: id, To: id, Term: 9, Index: 70_000, LogTerm: 9, Commit: 70_000, Round: 90_000},
		"answer":    {Kind: replicate.AppendReply, From: id, To: id, Term: 9, Index: 70_000, Round: 90_000, Promise: 250 * time.Millisecond},
	} {
		var buf bytes.Buffer
		if err := encoding.MarshalToBuffer(m, &buf); err != nil {
			t.Fatal(err)
		}
		const most = 150 // bytes; with the zero fields encoded they were 225 and 234.
		if buf.Len() > most {
			t.Errorf("%s: %d bytes", name, buf.Len())
		}
	}
}

// earlierMessage is the message of versions without promises, hand-overs and round
// trips: they encode every field and know none of the later ones.
type earlierMessage struct {
	Kind     replicate.MessageKind
	From     protocol.ReplicaID
	To       protocol.ReplicaID
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Entries  []protocol.LogEntry
	Commit   uint64
	Reject   bool
	Rejected uint64
	Round    uint64
	Void     uint64
	Snapshot protocol.SnapshotMeta
	Data     []byte
}

// TestMessageCompatibility checks that replicas of this version and of an earlier
// one decode each other's messages correctly, since both run during an update.
func TestMessageCompatibility(t *testing.T) {
	id := protocol.ReplicaID{Name: "a", Incarnation: 7}
	meta := protocol.SnapshotMeta{Index: 4, Term: 2, Members: protocol.ReplicaMembers{Voters: []protocol.ReplicaID{id}}}
	earlier := earlierMessage{
		Kind: replicate.Snapshot, From: id, To: id, Term: 9, Index: 1, LogTerm: 2, Entries: []protocol.LogEntry{{Index: 3, Term: 2, Data: []byte("x")}},
		Commit: 5, Reject: true, Rejected: 6, Round: 8, Void: 4, Snapshot: meta, Data: []byte("y"),
	}
	now := replicate.Message{
		Kind: earlier.Kind, From: id, To: id, Term: 9, Index: 1, LogTerm: 2, Entries: earlier.Entries,
		Commit: 5, Reject: true, Rejected: 6, Round: 8, Void: 4, Snapshot: meta, Data: earlier.Data,
	}
	promised := now
	promised.Promise, promised.Trips = time.Second, []roundtrip.Trip{{From: "a", To: "b"}}
	bare, heartbeat := earlierMessage{Kind: replicate.Append, From: id, To: id, Term: 9}, replicate.Message{Kind: replicate.Append, From: id, To: id, Term: 9}
	for name, tt := range map[string]struct{ sent, got, want any }{
		"to earlier":             {promised, &earlierMessage{}, &earlier},
		"from earlier":           {earlier, &replicate.Message{}, &now},
		"heartbeat to earlier":   {heartbeat, &earlierMessage{}, &bare},
		"heartbeat from earlier": {bare, &replicate.Message{}, &heartbeat},
	} {
		var buf bytes.Buffer
		if err := encoding.MarshalToBuffer(tt.sent, &buf); err != nil {
			t.Fatal(err)
		}
		if err := decoding.Unmarshal(buf.Bytes(), tt.got); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(tt.want, tt.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
