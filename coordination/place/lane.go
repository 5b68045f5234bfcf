package place

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Lane selects the servers of a service that a request is sent to first. The prefill of a
// long prompt delays the tokens of all requests that run on the same server, so long and
// short prompts are sent to different servers.
type Lane uint8

// The lanes of a service.
const (
	LaneAny   Lane = iota // LaneAny allows all servers.
	LaneLong              // LaneLong prefers the servers reserved for long prompts.
	LaneShort             // LaneShort prefers the other servers.
)

const (
	// promptWeight is the weight of the latest prompt in the moving averages.
	promptWeight = 0.01
	// minLanePrompts is the number of prompts seen before lanes are used.
	minLanePrompts = 30
	// maxParamsWeight is the number of prompts from which on the parameters of a gateway
	// have full weight.
	maxParamsWeight = 200
	// minLongShare and maxLongShare bound the share of prefill tokens in long prompts for
	// which lanes pay off.
	minLongShare, maxLongShare = 0.15, 0.9
)

// Lanes learns from the prompts of one service which of them are long, namely those above
// the mean length, and how much server time each kind takes. All gateways see about the
// same mix of prompts and agree on the parameters through the leader.
type Lanes struct {
	prompts         int
	meanTokens      float64 // meanTokens is the mean length of a prompt in tokens.
	meanPrefill     float64 // meanPrefill is the mean number of tokens of a prompt that are not cached.
	meanLongPrefill float64 // meanLongPrefill is the part of meanPrefill that is in long prompts.

	endedRequests int
	meanHold      float64 // meanHold is how long a request holds a slot, divided by the server's slots (server-milliseconds).
	meanLongHold  float64 // meanLongHold is the part of meanHold that is due to long prompts.
	runningShort  int     // runningShort counts requests with short prompts that hold a slot.
	busyShort     float64 // busyShort is the moving average of the slots that they hold, in whole servers.
	busyUpdatedAt time.Time

	// agreed holds the parameters of all gateways; agreed.Seen is 0 before they were received.
	agreed protocol.LaneParams
}

const (
	// prefillRate is the assumed prefill rate of a server in tokens per millisecond.
	// Engines reach 64 to 112 without other work, and half of that while they serve streams.
	prefillRate = 50.0
	// holdWeight is the weight of the latest request in the mean hold times, which follow a
	// burst within seconds.
	holdWeight = 0.04
	// busyTimeConstant is the time over which the slots in use are averaged, about the
	// length of one stream.
	busyTimeConstant = 2 * time.Second
	// shortLaneUse is the share of the short lane in use above which it gets more servers
	// than its share of tokens. With 0.5, calm days lost 0.03 of their score because long
	// prompts were late.
	shortLaneUse = 0.6
)

// Local returns the parameters that this gateway observed itself.
func (l *Lanes) Local() protocol.LaneParams {
	params := protocol.LaneParams{Mean: l.meanTokens, Seen: l.prompts, Parts: protocol.LaneShares{Short: l.shortWork()}}
	if l.meanPrefill > 0 {
		params.Parts.Tokens = l.meanLongPrefill / l.meanPrefill
	}
	if all := l.meanPrefill/prefillRate + l.meanHold; all > 0 {
		params.Parts.Work = (l.meanLongPrefill/prefillRate + l.meanLongHold) / all
	}
	return params
}

// shortWork returns how many servers the short prompts of this gateway keep busy: the slots
// that they hold plus their prefill time, estimated from the mean ratio of prefill to hold
// time of short prompts.
func (l *Lanes) shortWork() float64 {
	hold := l.meanHold - l.meanLongHold
	if hold <= 0 {
		return l.busyShort
	}
	return l.busyShort * (1 + (l.meanPrefill-l.meanLongPrefill)/prefillRate/hold)
}

// RequestStarted records a request that takes one of the server's slots.
func (l *Lanes) RequestStarted(lane Lane, slots int, now time.Time) {
	l.updateBusy(lane, 1, slots, now)
}

// RequestEnded records that a request released its slot after the time held.
func (l *Lanes) RequestEnded(lane Lane, held time.Duration, slots int, now time.Time) {
	l.updateBusy(lane, -1, slots, now)
	weight := max(holdWeight, 1/float64(l.endedRequests+1))
	l.endedRequests++
	hold, longHold := float64(held)/float64(time.Millisecond)/float64(max(1, slots)), 0.0
	if lane == LaneLong {
		longHold = hold
	}
	l.meanHold += weight * (hold - l.meanHold)
	l.meanLongHold += weight * (longHold - l.meanLongHold)
}

func (l *Lanes) updateBusy(lane Lane, n, slots int, now time.Time) {
	if lane == LaneLong {
		return
	}
	weight := min(1, float64(now.Sub(l.busyUpdatedAt))/float64(busyTimeConstant))
	l.busyShort += weight * (float64(l.runningShort)/float64(max(1, slots)) - l.busyShort)
	l.runningShort += n
	l.busyUpdatedAt = now
}

// SetAgreed sets the parameters of all gateways, so that all assign the same lanes.
func (l *Lanes) SetAgreed(params protocol.LaneParams) { l.agreed = params }

// MergeParams merges the terms of several gateways: means are weighted by the prompts that
// each has seen, and the servers kept busy by short prompts are added up.
func MergeParams(list []protocol.LaneParams) protocol.LaneParams {
	var all protocol.LaneParams
	for _, t := range list {
		n := float64(min(t.Seen, maxParamsWeight))
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

// longServers returns how many of the given servers are reserved for long prompts: their
// share of the prefill tokens. Short prompts run for longer than their prefill takes, so
// they would find no slot where few servers are left. The short lane therefore grows until
// shortLaneUse of it is in use, up to its share of all work.
//
// This covers the load of lost failure domains during a burst. With 116 servers and 480
// model requests a second, a split by tokens gave the short lane 36 servers, where requests
// started after 1.2 s, while the 80 servers of the long lane ran one request each. Within
// 16 s of such a load, 3,153 requests were late with a split by tokens alone, 779 with a
// split by work alone (which made long prompts late without a burst), and 546 with this
// rule.
func longServers(p protocol.LaneShares, servers int) int {
	return splitServers(longShare(p, servers), servers)
}

// longShare returns the share of the servers that is reserved for long prompts, from 0 to
// 1. At most, it is the share of the prefill tokens in long prompts. It is lower if the short
// lane needs more: p.Short servers are kept busy by short prompts, so p.Short/shortLaneUse
// are to be in that lane. But long prompts keep their share of all work, if that is below
// their share of the tokens.
func longShare(p protocol.LaneShares, servers int) float64 {
	share := min(p.Tokens, 1-p.Short/shortLaneUse/float64(servers))
	return max(share, min(p.Tokens, p.Work))
}

// splitServers converts a share into a number of servers that leaves at least one to each
// lane.
func splitServers(share float64, servers int) int {
	return min(servers-1, max(1, int(share*float64(servers)+0.5)))
}

// cachedShare is the share of a prompt's shareable tokens assumed to be cached at the
// server.
const cachedShare = 0.7

// Observe records a prompt and how many of its tokens other requests may share, and returns
// its lane and how the servers are split between the lanes.
func (l *Lanes) Observe(tokens, shared int) (Lane, protocol.LaneShares) {
	if tokens <= 0 {
		return LaneAny, protocol.LaneShares{}
	}
	weight := max(promptWeight, 1/float64(l.prompts+1))
	l.prompts++
	isLong := float64(tokens) > l.threshold()
	l.meanTokens += weight * (float64(tokens) - l.meanTokens)
	prefill, longPrefill := max(0, float64(tokens)-cachedShare*float64(shared)), 0.0
	if isLong {
		longPrefill = prefill
	}
	l.meanPrefill += weight * (prefill - l.meanPrefill)
	l.meanLongPrefill += weight * (longPrefill - l.meanLongPrefill)
	params := l.Local()
	if l.agreed.Seen > 0 {
		params = l.agreed
	}
	switch {
	case params.Seen < minLanePrompts || params.Parts.Tokens < minLongShare || params.Parts.Tokens > maxLongShare:
		return LaneAny, params.Parts
	case isLong:
		return LaneLong, params.Parts
	}
	return LaneShort, params.Parts
}

// threshold returns the length in tokens above which a prompt is long.
func (l *Lanes) threshold() float64 {
	if l.agreed.Seen > 0 {
		return l.agreed.Mean
	}
	return l.meanTokens
}

// RelativeSize returns a prompt's length as a multiple of the mean length.
func (l *Lanes) RelativeSize(tokens int) float64 {
	if l.meanTokens <= 0 {
		return 0
	}
	return float64(tokens) / l.meanTokens
}

// laneSeed seeds the order in which servers are assigned to the long lane.
const laneSeed = 0x6c616e65

// regionLanes describes how the candidates of one region are split. Each region has both
// lanes, in the same proportion.
type regionLanes struct {
	servers      int    // servers is the number of candidates.
	minLongOrder uint64 // minLongOrder is the lowest lane order in the long lane. It stays 0 for a single server, which takes both kinds.
	hasRoom      bool   // hasRoom says that the requested lane has a server with a free slot.
}

// contains reports whether a server belongs to a lane.
func (l *regionLanes) contains(s *Server, lane Lane) bool {
	return (s.laneOrder >= l.minLongOrder) == (lane == LaneLong)
}

// splitLanes returns the lanes of each region of a view.
func splitLanes(v *View, rows []candidate, parts protocol.LaneShares) []regionLanes {
	lanes := make([]regionLanes, v.regions)
	for _, r := range rows {
		lanes[v.Servers[r.index].region].servers++
	}
	part, orders := longShare(parts, len(rows)), make([]uint64, 0, len(rows))
	for region := range lanes {
		l := &lanes[region]
		if l.servers < 2 {
			continue
		}
		orders = orders[:0]
		for _, r := range rows {
			if s := &v.Servers[r.index]; s.region == region {
				orders = append(orders, s.laneOrder)
			}
		}
		slices.Sort(orders)
		l.minLongOrder = orders[len(orders)-splitServers(part, len(orders))] // The long lane gets the highest orders.
	}
	return lanes
}

// inLane drops the candidates of the other lane, except in regions where the requested lane
// has no server with a free slot.
func inLane(v *View, rows []candidate, m ChooseMsg) []candidate {
	if m.Lane == LaneAny || len(rows) < 2 {
		return rows
	}
	lanes := splitLanes(v, rows, m.Parts)
	for _, r := range rows {
		s := &v.Servers[r.index]
		if l := &lanes[s.region]; r.fill < fullLoad && l.contains(s, m.Lane) {
			l.hasRoom = true
		}
	}
	kept := make([]candidate, 0, len(rows))
	for _, r := range rows {
		s := &v.Servers[r.index]
		if l := &lanes[s.region]; !l.hasRoom || l.contains(s, m.Lane) {
			kept = append(kept, r)
		}
	}
	return kept
}

// fullLoad is the fill of a server whose slots are all in use.
const fullLoad = 1
