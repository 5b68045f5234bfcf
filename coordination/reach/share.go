package reach

import "github.com/weldstream/weldstream/protocol"

// minShare is the smallest share of its requests that a gateway passes on: one that reaches
// most servers serves its callers itself.
const minShare = 0.2

// Share returns the part of a service's requests that a gateway passes on to its peers, from 0
// to 1, where it does not reach some of the listed servers. What it keeps is its even part of
// the servers that the best peer reaches, so that the servers that it does reach get no more
// than the others. Without a peer that reaches more, the share is 0.
func Share(service string, lost, listed int, peers []protocol.Peer) float64 {
	lost = min(lost, listed)
	if lost < minLost || len(peers) == 0 {
		return 0
	}
	lostByBest := listed
	for i := range peers {
		lostByBest = min(lostByBest, peers[i].LostOf(service))
	}
	if lostByBest >= lost {
		return 0
	}
	share := float64(lost-lostByBest) / float64(listed-lostByBest)
	if share < minShare {
		return 0
	}
	return share
}

// Helpers returns the peers that reach more servers of a service than a gateway that has lost
// the given number, in the order of the list.
func Helpers(service string, lost int, peers []protocol.Peer) (helpers []protocol.Peer) {
	for i := range peers {
		if peers[i].LostOf(service) < lost {
			helpers = append(helpers, peers[i])
		}
	}
	return helpers
}

// LacksPath reports whether a gateway that has lost the given number of a service's servers has lost
// its path to them: another gateway reaches at least minLost more. One more may have just ended.
func LacksPath(service string, lost int, peers []protocol.Peer) bool {
	return len(Helpers(service, lost-minLost+1, peers)) > 0
}
