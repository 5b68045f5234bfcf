package control

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// leaderHold is how long a question for the leader is kept while none is known:
	// about the longest election without a split vote.
	leaderHold = 400 * time.Millisecond
	// listHold is how long a gateway that has no list is kept waiting for the first
	// one of a leader: some answers of the platform. Without it the gateway would ask
	// again a whole pause later.
	listHold = 150 * time.Millisecond
)

// Leader tells who leads, once that is known.
func (u *Uplink) Leader(m protocol.LeaderMsg, reply *protocol.LeaderReply) error {
	end := time.NewTimer(leaderHold)
	defer end.Stop()
	for {
		changed := u.group.Changed()
		leader, all := u.peers()
		reply.Controls, reply.Domains = all, u.domains(all)
		// An instance that leads has not fallen silent, whatever the asker heard of it.
		if _, leads := u.group.Vouches(); leads || leader != m.Besides {
			reply.Leader = leader
		}
		if reply.Leader != "" {
			return nil
		}
		select {
		case <-changed:
		case <-end.C:
			return nil
		}
	}
}

// awaitList waits until the list was read in a term, for a gateway without one.
func (u *Uplink) awaitList(term uint64) {
	u.mu.Lock()
	u.enter(term)
	listed, news := u.listed, u.news
	u.mu.Unlock()
	if listed {
		return
	}
	end := time.NewTimer(listHold)
	defer end.Stop()
	select {
	case <-news:
	case <-end.C:
	}
}
