package control

import (
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Quota grants quota to a gateway whose requests are waiting for it. Its cost does not depend
// on the number of gateways and servers.
func (u *Uplink) Quota(m protocol.QuotaMsg, reply *protocol.QuotaReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.prepareDocument()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	now := clock.Now()
	u.recordDone(m.Done, term)
	for _, want := range m.Wants {
		reply.Grants = append(reply.Grants, u.quotas.Grant(want, now))
	}
	// The lease may have expired meanwhile: then another leader grants the quotas.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}
