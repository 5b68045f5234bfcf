package forward

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// fakeStore is an origin store of some instances, of which some do not answer.
type fakeStore struct {
	mu     sync.Mutex // mu guards the fields below.
	tables map[string]*origin.Table
	silent []string
	single protocol.SingleVersion

	leaderless bool // leaderless reports that none of the instances leads.
}

func newFakeStore(instances ...string) *fakeStore {
	s := &fakeStore{tables: map[string]*origin.Table{}}
	for _, name := range instances {
		s.tables[name] = origin.NewTable(maxOrigins)
	}
	return s
}

func (s *fakeStore) OriginKeepers() (list []protocol.Peer) {
	for name := range s.tables {
		list = append(list, protocol.Peer{Name: name, Address: name})
	}
	return list
}

var errSilent = errors.New("no answer")

func (s *fakeStore) KeepOrigins(address string, m *protocol.OriginsMsg) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.silent, address) {
		return errSilent
	}
	for _, o := range m.Origins {
		s.tables[address].Add(o, false, clock.Now())
	}
	return nil
}

func (s *fakeStore) FindOrigin(address string, q *protocol.OriginQuery, reply *protocol.OriginReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.silent, address) {
		return errSilent
	}
	if r, ok := s.tables[address].Find(q.Key, clock.Now()); ok {
		reply.Found, reply.Origin = true, r.Origin(q.Key, clock.Now())
	}
	reply.Single, reply.Leads = s.single, !s.leaderless
	return nil
}

// silence makes some instances not answer any more.
func (s *fakeStore) silence(instances ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = instances
}

// newStoredGateways returns gateways that share an origin store, before two servers of each of two
// versions.
func newStoredGateways(t *testing.T, count int, s *fakeStore) []*testGateway {
	t.Helper()
	all := newVersionGateways(t, count)
	for _, w := range all {
		w.g.originStore = func() OriginStore { return s }
	}
	return all
}

// TestStreamsOutliveTheirGateways checks that streams go on at their version, at gateways that know nothing
// of them, after all gateways have ended, and also if an instance of the origin store does not answer.
func TestStreamsOutliveTheirGateways(t *testing.T) {
	for name, c := range map[string]struct{ before, after []string }{
		"all answer":                 {},
		"one is silent from then on": {nil, []string{"a"}},
		"one was silent until then":  {[]string{"b"}, nil},
		"one is silent throughout":   {[]string{"c"}, []string{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore("a", "b", "c")
			store.silence(c.before...)
			former := newStoredGateways(t, 2, store)
			began := map[string]string{}
			for n := range versionStreams {
				id := fmt.Sprint("first-", n)
				began[id] = versionOf(t, former[n%len(former)].askAs(id))
			}
			for _, w := range former {
				w.kill()
			}
			store.silence(c.after...)
			all := newStoredGateways(t, 2, store)
			for id, version := range began {
				want := event("2", version) + event("3", version)
				if got := all[0].resumeKnown("again-"+id, id); got.status != 200 || got.broken || got.body != want {
					t.Errorf("stream %s of %s: %+v", id, version, got)
				}
			}
		})
	}
}

// TestSilentStoreIsNotGuessed checks that a stream whose origin cannot be had at present is refused as not
// run, and that its caller is told to come back.
func TestSilentStoreIsNotGuessed(t *testing.T) {
	store := newFakeStore("a", "b")
	former := newStoredGateways(t, 2, store)
	version := versionOf(t, former[0].askAs("first"))
	for _, w := range former {
		w.kill()
	}
	store.silence("a", "b")
	all := newStoredGateways(t, 2, store)
	if got := all[0].resume("again", "first"); got.status != 503 || got.verdict != protocol.NotRun.String() || got.retry == "" {
		t.Errorf("got %+v, want a refusal that names a time to come back", got)
	}
	store.silence()
	if got := all[1].resumeKnown("once more", "first"); got.status != 200 || got.body != event("2", version)+event("3", version) {
		t.Errorf("got %+v once the store answers", got)
	}
}

// TestOnlyVersionIsKnownFromStore checks that gateways that have just started go on with a stream if the
// store has known a single version for long enough.
func TestOnlyVersionIsKnownFromStore(t *testing.T) {
	store := newFakeStore("a")
	all := newStoredGateways(t, 2, store)
	list(all, onlyVersion("v1"))
	if got := all[0].resumeKnown("again", "first"); got.status != 503 {
		t.Errorf("nobody knows for long: got %+v", got)
	}
	store.single = protocol.SingleVersion{Service: "s", Version: "v1", For: streamLifetimeFactor * testTimeout}
	if got := all[0].resumeKnown("again", "first"); got.status != 200 || got.broken {
		t.Errorf("got %+v", got)
	}
}

// TestStoreIsUsedAgainAtOnce checks that an origin is given to the only instance of the store although that
// did not answer a moment ago.
func TestStoreIsUsedAgainAtOnce(t *testing.T) {
	store := newFakeStore("a")
	former := newStoredGateways(t, 1, store)
	store.silence("a")
	versionOf(t, former[0].askAs("lost"))
	store.silence()
	version := versionOf(t, former[0].askAs("kept"))
	former[0].kill()
	all := newStoredGateways(t, 1, store)
	if got := all[0].resume("again", "kept"); got.status != 200 || got.body != event("2", version)+event("3", version) {
		t.Errorf("got %+v", got)
	}
}
