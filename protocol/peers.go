package protocol

// PeersMsg tells the leader where other gateways reach a gateway and which servers it does not
// reach itself, and asks for gateways that it may pass requests on to.
type PeersMsg struct {
	Gateway string
	Life    uint64 // differs for each start of the gateway
	Domain  string // failure domain of the gateway
	Address string // peer address; empty if the gateway accepts no requests from others
	Lost    []ServiceLoss
	Keepers uint64 // digest of the keepers that the gateway knows; 0 for none
}

// ServiceLoss is the number of a service's servers that a gateway does not reach.
type ServiceLoss struct {
	Service string
	Lost    int
}

// PeersReply answers a [PeersMsg]. Leads is false if the instance cannot confirm that it is
// the leader; Peers is then meaningless.
type PeersReply struct {
	Leads bool
	Peers []Peer // best first
	// Keepers are the gateways that keep the origins of streams, the same for all; empty if they are
	// those of the digest in the request.
	Keepers       []Peer
	KeepersDigest uint64
}

// Peer is a gateway that accepts requests from other gateways.
type Peer struct {
	Name    string
	Address string
	Domain  string
	Lost    []ServiceLoss
}

// LostOf returns the number of a service's servers that the peer does not reach.
func (p *Peer) LostOf(service string) int {
	for i := range p.Lost {
		if p.Lost[i].Service == service {
			return p.Lost[i].Lost
		}
	}
	return 0
}
