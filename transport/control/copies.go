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

// copies are what a relay holds of the leader's: what is common to the answers of its
// gateways. They come with the answers to its batches, and are lost with it.
type copies struct {
	listing
	leader     string // leader is the peer address of the one that answered last.
	term       uint64
	number     uint64 // number is the document that was vouched for last.
	changes    uint64
	rollouts   []protocol.Rollout
	quarantine protocol.QuarantineLog
	watched    []protocol.Fingerprint
	short      []string
	lanes      []protocol.ServiceLanes
	gateways   int
	clock      time.Time
	mark       protocol.LoadVersion // mark names the leader's loads that are held.
	vector     place.LoadVector     // vector is those loads under this relay's own versions, for its gateways.
	distrusted map[string][]byte

	readings *place.PrefillLog
	fresh    []protocol.Prefill // fresh are readings that were not yet sent to the leader.

	incarnation uint64 // incarnation is drawn with each new copies: versions of loads and placed requests go by it.
	view        *place.View
	loads       *place.Loads
	places      *place.PromptScheduler

	topology *topology.Topology
}

func newCopies(t *topology.Topology) *copies {
	loads := place.NewLoads()
	return &copies{
		incarnation: rand.Uint64(),
		loads:       loads,
		places:      place.NewPromptScheduler(loads, place.WithTopology(t)),
		readings:    place.NewPrefillLog(),
		topology:    t,
	}
}

// ask puts into the next batch what is held here, and what the leader was not told yet.
func (c *copies) ask(m *protocol.BatchMsg) {
	m.Lister, m.Servers, m.Rollouts, m.Loads = c.lister, c.version, c.changes, c.mark
	m.Quarantined, m.Watched = c.quarantine.Changes, protocol.WatchHash(c.watched)
	m.Placed = c.places.TakeUnsent()
	m.Readings, c.fresh = c.fresh, nil
}

// read takes readings that one of the relay's gateways tells, and keeps them for the next
// batch.
func (c *copies) read(rows []protocol.Prefill) {
	now := clock.Now()
	for _, r := range rows {
		c.readings.Add(c.incarnation, r.Server, r.Links)
		c.places.RecordPrefill(r.Server, r.Links, now)
	}
	c.fresh = append(c.fresh, rows...)
}

// hear takes the readings of others that are in the leader's answer to a batch. The leader
// tells each once. Those of a lost answer are not asked for again: they are a hint, without
// which a prompt's parts are read instead of copied.
func (c *copies) hear(m *protocol.BatchMsg, r *protocol.BatchReply) {
	lister, version := m.Lister, m.Servers
	if r.Listed {
		lister, version = r.Lister, r.Version
	}
	if !c.listed || c.lister != lister || c.version != version {
		return // They are packed by the order of another list.
	}
	now := clock.Now()
	place.EachPrefill(r.Readings, c.order, func(server string, key uint32) {
		c.readings.Add(0, server, []uint32{key})
		c.places.RecordPrefill(server, []uint32{key}, now)
	})
}

// renew takes the leader's answer to a batch.
func (c *copies) renew(leader string, r *protocol.BatchReply) error {
	loads, err := place.UpdateLoads(c.vector.Values(), c.mark, r.Whole, r.LoadChanges, r.Loads)
	if err != nil {
		return err
	}
	if err := c.renewList(r); err != nil {
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
	c.mark = r.Loads
	if r.Listed {
		c.vector.Reset(loads)
	} else {
		c.vector.Set(loads)
	}
	if len(loads) == len(c.order) {
		c.loads.Replace(c.order, loads, c.distrusted)
	} else {
		c.mark = protocol.LoadVersion{} // All are asked for next.
	}
	c.places.AddRemote(r.Placed, clock.Now())
	return nil
}

// renewList takes the list and the roll-outs, and has the view follow both.
func (c *copies) renewList(r *protocol.BatchReply) error {
	news := false
	held := c.listed && c.lister == r.Lister && c.version == r.Version // held says that the answer to another batch brought this version.
	if r.Listed && !held {
		list, err := UnpackList(r.List)
		if err != nil {
			return err
		}
		c.take(r.Lister, r.Version, list.ApplyTo(c.servers))
		c.readings.SetServers(c.order)
		news = true
	}
	if r.Changes != c.changes {
		c.changes, c.rollouts, news = r.Changes, r.Rollouts, true
	}
	if news && c.listed {
		c.view = place.NewView(c.servers, c.view, place.WithRollouts(c.rollouts), place.WithRegions(c.topology))
		c.places.Prune(c.view)
	}
	return nil
}

// errBehind is returned for an answer that vouches for a document which the relay does
// not hold.
var errBehind = eris.New("the document that the leader vouches for is not held")

// answer composes the answer to a gateway's question as the leader would have, of what
// came with its batch. The document is the newest that this instance holds.
func (c *copies) answer(m *protocol.SyncMsg, own *protocol.BatchAnswer, number uint64, document []byte, reply *protocol.SyncReply) error {
	if number < c.number {
		return errBehind
	}
	reply.Leader, reply.Term, reply.Number = c.leader, c.term, number
	if number > m.Number {
		reply.Document = document
	}
	reply.Changes = c.changes
	if m.Rollouts != c.changes {
		reply.Rollouts = c.rollouts
	}
	tellQuarantine(&c.quarantine, c.watched, m.QuarantineChange(), m.Watched, reply)
	c.tellServers(m, reply)
	reply.Short, reply.Lanes, reply.Gateways, reply.Clock = c.short, c.lanes, c.gateways, c.clock
	if c.holds(m) && !c.startless(m) && len(c.vector.Values()) == len(c.order) {
		reply.Distrusted = bytes.Clone(c.distrusted[m.Domain])
		tellLoads(&c.vector, protocol.LoadVersion{Incarnation: c.incarnation, Version: c.vector.Version()}, m.Loads, reply)
		reply.Readings, reply.ReadingsAt = c.readings.Since(m.ReadingsAt)
	}
	reply.Grants, reply.Trials = grantsOf(own), own.Trials
	reply.Leads = true
	return nil
}

// place finds a server for a long prompt of one of the relay's gateways.
func (c *copies) place(m *protocol.PlaceMsg, reply *protocol.PlaceReply) {
	if c.view == nil {
		return
	}
	if placed, ok := c.places.Place(c.view, prompt(m), clock.Now()); ok {
		if len(placed.NewLinks) > 0 {
			c.readings.Add(c.incarnation, placed.Server, placed.NewLinks)
			c.fresh = append(c.fresh, protocol.Prefill{Server: placed.Server, Links: placed.NewLinks})
		}
		*reply = placeReply(&placed, c.term, c.incarnation)
	}
}

// done notes the ends of requests that this relay placed.
func (c *copies) done(ends []protocol.PlaceDone) {
	for _, d := range ends {
		if d.Placer == c.incarnation {
			c.places.Done(place.DoneMsg{Number: d.Number, First: d.First, Took: d.Took})
		}
	}
}
