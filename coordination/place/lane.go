package place

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Lane says which servers of a service a request goes to first. While a server
// reads a long prompt, the tokens of all that run beside it come late; so long
// prompts and short ones keep to servers of their own.
type Lane uint8

// The lanes.
const (
	LaneAny   Lane = iota // LaneAny takes all servers.
	LaneLong              // LaneLong takes the servers that read long prompts.
	LaneShort             // LaneShort takes the others.
)

const (
	// laneWeight is the weight of the latest prompt in the means.
	laneWeight = 0.01
	// laneLeast prompts are seen before any lanes are made.
	laneLeast = 30
	// laneTrust prompts of one gateway are enough to count in full.
	laneTrust = 200
	// leastShare and mostShare bound the part of the tokens in long prompts for
	// which lanes are worth it.
	leastShare, mostShare = 0.15, 0.9
)

// Lanes learns from the prompts of one service which of them are long: those
// above the mean, and how much of the servers' time each kind takes. All gateways see
// about the same prompts, and agree through the leader.
type Lanes struct {
	seen int
	mean float64 // mean is a prompt's length in tokens.
	read float64 // read are the tokens of a mean prompt that a server has to read.
	long float64 // long are those of them that are in long prompts.

	ended     int
	stay      float64 // stay is for how long a mean request holds a slot, in ms of a whole server.
	longStay  float64 // longStay is the part of it that is with long prompts.
	running   int     // running are requests with short prompts that hold a slot.
	busy      float64 // busy are the slots that those hold in the mean, as whole servers.
	runningAt time.Time

	// agreed are those of all gateways, if they were received.
	agreed protocol.LaneParams
}

const (
	// readSpeed is how many tokens a millisecond a server reads: engines read 64 to 112
	// alone and half of that beside streams.
	readSpeed = 50.0
	// stayWeight is the weight of the latest request in the mean stays, which follow a
	// burst within seconds.
	stayWeight = 0.04
	// busyMemory is the time over which the slots in use are averaged: about one stream.
	busyMemory = 2 * time.Second
	// shortFill is how much of the short lane may be in use before it gets more servers
	// than by tokens. With 0.5 calm days lost 0.03 of their worth: long prompts came late.
	shortFill = 0.6
)

// Local returns what this gateway has seen by itself.
func (l *Lanes) Local() protocol.LaneParams {
	t := protocol.LaneParams{Mean: l.mean, Seen: l.seen, Parts: protocol.LaneShares{Short: l.shortWork()}}
	if l.read > 0 {
		t.Parts.Tokens = l.long / l.read
	}
	if all := l.read/readSpeed + l.stay; all > 0 {
		t.Parts.Work = (l.long/readSpeed + l.longStay) / all
	}
	return t
}

// shortWork returns how many servers the short prompts of this gateway keep busy: by
// the slots that they hold, and by their reading, in the proportion of a mean prompt.
func (l *Lanes) shortWork() float64 {
	stay := l.stay - l.longStay
	if stay <= 0 {
		return l.busy
	}
	return l.busy * (1 + (l.read-l.long)/readSpeed/stay)
}

// RequestStarted notes a request that takes a slot of a server with some slots.
func (l *Lanes) RequestStarted(lane Lane, slots int, now time.Time) { l.runs(lane, 1, slots, now) }

// RequestEnded notes that it gave the slot back after a time.
func (l *Lanes) RequestEnded(lane Lane, held time.Duration, slots int, now time.Time) {
	l.runs(lane, -1, slots, now)
	weight := max(stayWeight, 1/float64(l.ended+1))
	l.ended++
	stay, long := float64(held)/float64(time.Millisecond)/float64(max(1, slots)), 0.0
	if lane == LaneLong {
		long = stay
	}
	l.stay += weight * (stay - l.stay)
	l.longStay += weight * (long - l.longStay)
}

func (l *Lanes) runs(lane Lane, n, slots int, now time.Time) {
	if lane == LaneLong {
		return
	}
	part := min(1, float64(now.Sub(l.runningAt))/float64(busyMemory))
	l.busy += part * (float64(l.running)/float64(max(1, slots)) - l.busy)
	l.running += n
	l.runningAt = now
}

// SetAgreed takes the terms of all gateways, so that all make the same lanes.
func (l *Lanes) SetAgreed(t protocol.LaneParams) { l.agreed = t }

// MergeTerms returns the terms of several gateways: means by the prompts that each has
// seen, and what their short prompts keep busy in all.
func MergeTerms(terms []protocol.LaneParams) protocol.LaneParams {
	var all protocol.LaneParams
	for _, t := range terms {
		n := float64(min(t.Seen, laneTrust))
		all.Mean += t.Mean * n
		all.Parts.Tokens += t.Parts.Tokens * n
		all.Parts.Work += t.Parts.Work * n
		all.Parts.Short += t.Parts.Short
		all.Seen += int(n)
	}
	if all.Seen > 0 {
		all.Mean /= float64(all.Seen)
		all.Parts.Tokens /= float64(all.Seen)
		all.Parts.Work /= float64(all.Seen)
	}
	return all
}

// longServers returns how many of some servers are for long prompts: their part of the
// tokens, which is what holds others up while it is read. But brief prompts run for
// longer than they are read, and where few servers are left they find no slot. So they
// get servers until shortFill of them is in use, at most their part of all work.
//
// It answers the load of domains that are gone while a burst lasts: with 116 servers
// and 480 model requests a second the short lane had 36 servers by tokens, its
// requests began after 1.2 s, and the 80 of the long lane ran one each. Of that day's
// requests from 24 to 40 s 3,153 were late by tokens alone, 779 by work alone, which
// made long prompts late on calm days, and 546 so.
func longServers(p protocol.LaneShares, servers int) int {
	return atLeastOne(longPart(p, servers), servers)
}

// longPart returns the part of some servers that is for long prompts, from 0 to 1.
func longPart(p protocol.LaneShares, servers int) float64 {
	share := min(p.Tokens, 1-p.Short/shortFill/float64(servers))
	return max(share, min(p.Tokens, p.Work))
}

// atLeastOne returns how many servers a part of them is, with one left to either lane.
func atLeastOne(part float64, servers int) int {
	return min(servers-1, max(1, int(part*float64(servers)+0.5)))
}

// heldPart of the parts that requests share are taken to be held by the server.
const heldPart = 0.7

// Observe notes a prompt, with how many of its tokens other requests may share,
// and returns its lane and how the servers are parted between the lanes.
func (l *Lanes) Observe(tokens, shared int) (Lane, protocol.LaneShares) {
	if tokens <= 0 {
		return LaneAny, protocol.LaneShares{}
	}
	weight := max(laneWeight, 1/float64(l.seen+1))
	l.seen++
	isLong := float64(tokens) > l.threshold()
	l.mean += weight * (float64(tokens) - l.mean)
	read, part := max(0, float64(tokens)-heldPart*float64(shared)), 0.0
	if isLong {
		part = read
	}
	l.read += weight * (read - l.read)
	l.long += weight * (part - l.long)
	terms := l.Local()
	if l.agreed.Seen > 0 {
		terms = l.agreed
	}
	switch {
	case terms.Seen < laneLeast || terms.Parts.Tokens < leastShare || terms.Parts.Tokens > mostShare:
		return LaneAny, terms.Parts
	case isLong:
		return LaneLong, terms.Parts
	}
	return LaneShort, terms.Parts
}

// threshold is the length above which a prompt is long.
func (l *Lanes) threshold() float64 {
	if l.agreed.Seen > 0 {
		return l.agreed.Mean
	}
	return l.mean
}

// RelativeSize returns a prompt's length as a multiple of the mean one.
func (l *Lanes) RelativeSize(tokens int) float64 {
	if l.mean <= 0 {
		return 0
	}
	return float64(tokens) / l.mean
}

// laneSeed makes the order of servers in which the long lane takes them.
const laneSeed = 0x6c616e65

// regionLanes are how the candidates of one region are divided: each region has both
// lanes, in the same parts.
type regionLanes struct {
	servers int    // servers are the candidates.
	least   uint64 // least is the least order of the long lane. A server alone is of that one, and takes both kinds.
	room    bool   // room says that the lane that is asked for has a server with room for one more at once.
}

// has reports whether a server is of a lane.
func (l *regionLanes) has(s *Server, lane Lane) bool {
	return (s.order >= l.least) == (lane == LaneLong)
}

// divide returns the lanes of each region of a view.
func divide(v *View, rows []row, parts protocol.LaneShares) []regionLanes {
	lanes := make([]regionLanes, v.regions)
	for _, r := range rows {
		lanes[v.Servers[r.index].region].servers++
	}
	part, orders := longPart(parts, len(rows)), make([]uint64, 0, len(rows))
	for region := range lanes {
		l := &lanes[region]
		if l.servers < 2 {
			continue
		}
		orders = orders[:0]
		for _, r := range rows {
			if s := &v.Servers[r.index]; s.region == region {
				orders = append(orders, s.order)
			}
		}
		slices.Sort(orders)
		l.least = orders[len(orders)-atLeastOne(part, len(orders))] // The highest are the long lane.
	}
	return lanes
}

// inLane drops the rows of the other lane, but for regions in which that leaves only
// servers that have more to do than they can do at once.
func inLane(v *View, rows []row, m ChooseMsg) []row {
	if m.Lane == LaneAny || len(rows) < 2 {
		return rows
	}
	lanes := divide(v, rows, m.Parts)
	for _, r := range rows {
		s := &v.Servers[r.index]
		if l := &lanes[s.region]; r.fill < fullLoad && l.has(s, m.Lane) {
			l.room = true
		}
	}
	kept := make([]row, 0, len(rows))
	for _, r := range rows {
		s := &v.Servers[r.index]
		if l := &lanes[s.region]; !l.room || l.has(s, m.Lane) {
			kept = append(kept, r)
		}
	}
	return kept
}

// fullLoad is a server that has as much to do as it does at once.
const fullLoad = 1
