package control

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// leaderWait is how long a request for the leader waits while none is known: about the
	// longest election without a split vote.
	leaderWait = 400 * time.Millisecond
	// firstListWait is how long a gateway without a list waits for a new leader's first
	// one: several response times of the platform. Without it the gateway would get the
	// list only with its next request, a whole interval later.
	firstListWait = 150 * time.Millisecond
)

// Leader returns the current leader, and waits for one if none is known.
func (u *Uplink) Leader(m protocol.LeaderMsg, reply *protocol.LeaderReply) error {
	end := time.NewTimer(leaderWait)
	defer end.Stop()
	for {
		changed := u.group.Changed()
		leader, all := u.peers()
		reply.Controls, reply.Domains = all, u.domains(all)
		// An instance that leads is reachable, whatever the gateway assumes.
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

// awaitList waits until the list has been read in a term, for a gateway without one.
func (u *Uplink) awaitList(term uint64) {
	u.mu.Lock()
	u.enterTerm(term)
	listed, changed := u.listed, u.listChanged
	u.mu.Unlock()
	if listed {
		return
	}
	end := time.NewTimer(firstListWait)
	defer end.Stop()
	select {
	case <-changed:
	case <-end.C:
	}
}
