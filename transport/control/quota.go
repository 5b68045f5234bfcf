package control

import (
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Quota grants parts of quotas to a gateway whose requests wait for them. What it takes does
// not depend on how many gateways and servers there are.
func (u *Uplink) Quota(m protocol.QuotaMsg, reply *protocol.QuotaReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.ready()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	now := clock.Now()
	u.placesDone(m.Done, term)
	for _, want := range m.Wants {
		reply.Grants = append(reply.Grants, u.quotas.Grant(want, now))
	}
	// The lease may have run out meanwhile: then the quotas are another one's to grant.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}
