package protocol

// ObserveMsg tells the leader of a replication group which requests an entry instance
// had in progress when servers terminated, and asks for quarantine changes. The
// contents are repeated until the leader has acknowledged them.
type ObserveMsg struct {
	Instance string
	// Term is the leader's term that Observations refers to. Observations that the
	// leader of this term has already received are omitted.
	Term         uint64
	Observations []Observation
	Quarantined  uint64 // latest quarantine change that the instance has applied
	// Watched identifies the list of requests whose successful completions the instance
	// reports; see [WatchHash].
	Watched uint64
}

// ObserveReply is the leader's answer. Leads is false if the replica cannot confirm
// that its log is current; the other fields are then unset.
type ObserveReply struct {
	Leads      bool
	Term       uint64
	Quarantine *QuarantineUpdate // changes that the sender of the request lacks; nil for none
	Watch      *WatchUpdate      // requests whose completions to report; nil if unchanged
}
