package protocol

// ObserveMsg tells the leader of a replication group what an entry instance saw of
// requests under which servers end, and asks for what it lacks of the quarantine. All of
// it is repeated until it is answered.
type ObserveMsg struct {
	Instance     string
	Term         uint64 // Term is the leader's that Observations are for: what that one has is left out.
	Observations []Observation
	Quarantined  uint64 // Quarantined is the change of the quarantine that the instance keeps to.
	Watched      uint64 // Watched names the requests whose good ends it tells; see WatchMark.
}

// ObserveReply is the leader's answer. Leads is false from a replica that cannot vouch for
// the log; then nothing else is set.
type ObserveReply struct {
	Leads      bool
	Term       uint64
	Quarantine *QuarantineUpdate // Quarantine is what the asker lacks; nil for nothing.
	Watch      *WatchUpdate      // Watch are the requests to be told of, where the asker has others; nil for no change.
}
