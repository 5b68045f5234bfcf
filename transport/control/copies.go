package control

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// leaderState is a relay's copy of the leader's state: what the answers to all of its
// gateways have in common. It is updated by the answers to the relay's batches and is not
// persisted.
type leaderState struct {
	serverList
	leader         string // leader is the peer address of the instance that answered last.
	term           uint64
	number         uint64 // number is the newest document that the leader has confirmed.
	rolloutChanges uint64
	rollouts       []protocol.Rollout
	quarantine     protocol.QuarantineLog
	watched        []protocol.Fingerprint
	short          []string
	lanes          []protocol.ServiceLanes
	gateways       int
	clock          time.Time
	heldLoads      protocol.LoadVersion // heldLoads is the version of the leader's loads that is held.
	vector         place.LoadVector     // vector holds those loads under this relay's own versions, for its gateways.
	distrusted     map[string][]byte

	readings       *place.PrefillLog
	unsentReadings []protocol.Prefill // unsentReadings are readings not yet sent to the leader.

	incarnation uint64 // incarnation is random for each new leaderState; it qualifies versions of loads and the numbers of placed requests.
	view        *place.View
	loads       *place.Loads
	places      *place.PromptScheduler

	topology *topology.Topology
}

func newLeaderState(t *topology.Topology) *leaderState {
	loads := place.NewLoads()
	return &leaderState{
		incarnation: rand.Uint64(),
		loads:       loads,
		places:      place.NewPromptScheduler(loads, place.WithTopology(t)),
		readings:    place.NewPrefillLog(),
		topology:    t,
	}
}

// fillBatch adds to the next batch the versions held here and what has not been sent to the
// leader yet.
func (c *leaderState) fillBatch(m *protocol.BatchMsg) {
	m.Lister, m.Servers, m.Rollouts, m.Loads = c.listTerm, c.version, c.rolloutChanges, c.heldLoads
	m.Quarantined, m.Watched = c.quarantine.Changes, protocol.WatchHash(c.watched)
	m.Placed = c.places.TakeUnsent()
	m.Readings, c.unsentReadings = c.unsentReadings, nil
}

// addReadings records the readings that one of the relay's gateways reports and queues them
// for the next batch.
func (c *leaderState) addReadings(rows []protocol.Prefill) {
	now := clock.Now()
	for _, r := range rows {
		c.readings.Add(c.incarnation, r.Server, r.Links)
		c.places.RecordPrefill(r.Server, r.Links, now)
	}
	c.unsentReadings = append(c.unsentReadings, rows...)
}

// applyReadings records the readings of others in the leader's answer to a batch. The leader
// sends each one once. Those in a lost answer are not requested again: they are hints, without
// which parts of a prompt are computed instead of copied.
func (c *leaderState) applyReadings(m *protocol.BatchMsg, r *protocol.BatchReply) {
	lister, version := m.Lister, m.Servers
	if r.Listed {
		lister, version = r.Lister, r.Version
	}
	if !c.listed || c.listTerm != lister || c.version != version {
		return // They are encoded by the server order of another list.
	}
	now := clock.Now()
	place.EachPrefill(r.Readings, c.serverOrder, func(server string, key uint32) {
		c.readings.Add(0, server, []uint32{key})
		c.places.RecordPrefill(server, []uint32{key}, now)
	})
}

// applyReply applies the leader's answer to a batch.
func (c *leaderState) applyReply(leader string, r *protocol.BatchReply) error {
	loads, err := place.UpdateLoads(c.vector.Values(), c.heldLoads, r.Whole, r.LoadChanges, r.Loads)
	if err != nil {
		return err
	}
	if err := c.applyList(r); err != nil {
		return err
	}
	c.leader, c.term, c.number = leader, r.Term, r.Number
	c.short, c.gateways, c.clock = r.Short, r.Gateways, time.Unix(0, r.Clock)
	if r.Quarantine != nil {
		c.quarantine = c.quarantine.Apply(r.Quarantine)
	}
	if r.Watch != nil {
		c.watched = r.Watch.Requests
	}
	c.lanes = nil
	for _, row := range r.Lanes {
		c.lanes = append(c.lanes, protocol.ServiceLanes{Service: row.Service, Terms: unpackLanes(row.BatchLanes)})
	}
	c.distrusted = r.Distrusted
	c.heldLoads = r.Loads
	if r.Listed {
		c.vector.Reset(loads)
	} else {
		c.vector.Set(loads)
	}
	if len(loads) == len(c.serverOrder) {
		c.loads.Replace(c.serverOrder, loads, c.distrusted)
	} else {
		c.heldLoads = protocol.LoadVersion{} // The next batch requests all loads.
	}
	c.places.AddRemote(r.Placed, clock.Now())
	return nil
}

// applyList applies changes of the list and of the roll-outs and rebuilds the view if
// either changed.
func (c *leaderState) applyList(r *protocol.BatchReply) error {
	changed := false
	held := c.listed && c.listTerm == r.Lister && c.version == r.Version // held is set if the answer to another batch contained this version.
	if r.Listed && !held {
		list, err := UnpackList(r.List)
		if err != nil {
			return err
		}
		c.setList(r.Lister, r.Version, list.ApplyTo(c.servers))
		c.readings.SetServers(c.serverOrder)
		changed = true
	}
	if r.Changes != c.rolloutChanges {
		c.rolloutChanges, c.rollouts, changed = r.Changes, r.Rollouts, true
	}
	if changed && c.listed {
		c.view = place.NewView(c.servers, c.view, place.WithRollouts(c.rollouts), place.WithRegions(c.topology))
		c.places.Prune(c.view)
	}
	return nil
}

// errDocumentBehind is returned if the leader confirmed a document newer than the one that
// the relay holds.
var errDocumentBehind = eris.New("the document that the leader vouches for is not held")

// fillReply builds the answer to a gateway's request as the leader would have, from the
// leader's answer to its batch. The document is the newest that this instance holds.
func (c *leaderState) fillReply(m *protocol.SyncMsg, own *protocol.BatchAnswer, number uint64, document []byte, reply *protocol.SyncReply) error {
	if number < c.number {
		return errDocumentBehind
	}
	reply.Leader, reply.Term, reply.Number = c.leader, c.term, number
	if number > m.Number {
		reply.Document = document
	}
	reply.Changes = c.rolloutChanges
	if m.Rollouts != c.rolloutChanges {
		reply.Rollouts = c.rollouts
	}
	fillQuarantine(&c.quarantine, c.watched, m.QuarantineChange(), m.Watched, reply)
	c.fillServers(m, reply)
	reply.Short, reply.Lanes, reply.Gateways, reply.Clock = c.short, c.lanes, c.gateways, c.clock
	if c.isCurrent(m) && !c.wantsNamesOnly(m) && len(c.vector.Values()) == len(c.serverOrder) {
		reply.Distrusted = bytes.Clone(c.distrusted[m.Domain])
		fillLoads(&c.vector, protocol.LoadVersion{Incarnation: c.incarnation, Version: c.vector.Version()}, m.Loads, reply)
		reply.Readings, reply.ReadingsAt = c.readings.Since(m.ReadingsAt)
	}
	reply.Grants, reply.Trials = fromBatchGrants(own), own.Trials
	reply.Leads = true
	return nil
}

// place selects a server for a long prompt of one of the relay's gateways.
func (c *leaderState) place(m *protocol.PlaceMsg, reply *protocol.PlaceReply) {
	if c.view == nil {
		return
	}
	if placed, ok := c.places.Place(c.view, toPromptMsg(m), clock.Now()); ok {
		if len(placed.NewLinks) > 0 {
			c.readings.Add(c.incarnation, placed.Server, placed.NewLinks)
			c.unsentReadings = append(c.unsentReadings, protocol.Prefill{Server: placed.Server, Links: placed.NewLinks})
		}
		*reply = placeReply(&placed, c.term, c.incarnation)
	}
}

// recordDone records the completion of requests that this relay placed.
func (c *leaderState) recordDone(ends []protocol.PlaceDone) {
	for _, d := range ends {
		if d.Placer == c.incarnation {
			c.places.Done(place.DoneMsg{Number: d.Number, First: d.First, Took: d.Took})
		}
	}
}
