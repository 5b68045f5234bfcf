package place

import "slices"

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
// above the mean. All gateways see about the same prompts, so they come to about
// the same lanes without talking.
type Lanes struct {
	seen int
	mean float64 // mean is a prompt's length in tokens.
	read float64 // read are the tokens of a mean prompt that a server has to read.
	long float64 // long are those of them that are in long prompts.

	// agreed are those of all gateways, if they were received.
	agreed LaneTerms
}

// LaneTerms say which prompts of a service are long, and how much of all tokens
// they have. Seen is how many prompts they rest on.
type LaneTerms struct {
	Mean  float64
	Share float64
	Seen  int
}

// Own returns what this gateway has seen by itself.
func (l *Lanes) Own() LaneTerms {
	t := LaneTerms{Mean: l.mean, Seen: l.seen}
	if l.read > 0 {
		t.Share = l.long / l.read
	}
	return t
}

// Agree takes the terms of all gateways, so that all make the same lanes.
func (l *Lanes) Agree(t LaneTerms) { l.agreed = t }

// Mean returns the terms of several gateways, each by the prompts it has seen.
func Mean(terms []LaneTerms) LaneTerms {
	var sum LaneTerms
	for _, t := range terms {
		n := float64(min(t.Seen, laneTrust))
		sum.Mean += t.Mean * n
		sum.Share += t.Share * n
		sum.Seen += int(n)
	}
	if sum.Seen > 0 {
		sum.Mean /= float64(sum.Seen)
		sum.Share /= float64(sum.Seen)
	}
	return sum
}

// heldPart of the parts that requests share are taken to be held by the server.
const heldPart = 0.7

// Observe notes a prompt, with how many of its tokens other requests may share,
// and returns its lane and the part of the servers that the long lane has.
func (l *Lanes) Observe(tokens, shared int) (lane Lane, share float64) {
	if tokens <= 0 {
		return LaneAny, 0
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
	seen := l.seen
	share = l.Own().Share
	if l.agreed.Seen > 0 {
		share, seen = l.agreed.Share, l.agreed.Seen
	}
	switch {
	case seen < laneLeast || share < leastShare || share > mostShare:
		return LaneAny, share
	case isLong:
		return LaneLong, share
	}
	return LaneShort, share
}

// threshold is the length above which a prompt is long.
func (l *Lanes) threshold() float64 {
	if l.agreed.Seen > 0 {
		return l.agreed.Mean
	}
	return l.mean
}

// Size returns a prompt's length as a multiple of the mean one.
func (l *Lanes) Size(tokens int) float64 {
	if l.mean <= 0 {
		return 0
	}
	return float64(tokens) / l.mean
}

// laneSeed makes the order of servers in which the long lane takes them.
const laneSeed = 0x6c616e65

// inLane drops the rows of the other lane, unless that leaves only servers that
// have more to do than they can do at once.
func inLane(v *View, rows []row, m ChooseMsg) []row {
	if m.Lane == LaneAny || len(rows) < 2 {
		return rows
	}
	n := min(len(rows)-1, max(1, int(m.Share*float64(len(rows))+0.5)))
	order := make([]uint64, len(rows))
	for i, r := range rows {
		order[i] = mix(laneSeed ^ v.Servers[r.index].Hash)
	}
	sorted := slices.Sorted(slices.Values(order))
	least := sorted[len(sorted)-n] // The n highest are the long lane.
	kept := make([]row, 0, len(rows))
	for i, r := range rows {
		if (order[i] >= least) == (m.Lane == LaneLong) {
			kept = append(kept, r)
		}
	}
	for _, r := range kept {
		if r.fill < fullLoad {
			return kept
		}
	}
	return rows
}

// fullLoad is a server that has as much to do as it does at once.
const fullLoad = 1
