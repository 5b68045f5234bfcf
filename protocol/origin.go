package protocol

import (
	"crypto/sha256"
	"time"
)

// StreamKey identifies a stream over all requests with which its caller resumes it: a digest of the
// caller's workspace, the host and the ID of the request that brought the first event.
type StreamKey [16]byte

// NewStreamKey returns the key of the stream that a request began. Callers of different workspaces
// or hosts have different streams, whatever IDs they choose.
func NewStreamKey(workspace, host, id string) StreamKey {
	digest := sha256.Sum256([]byte(workspace + "\x00" + host + "\x00" + id))
	return StreamKey(digest[:len(StreamKey{})])
}

// StreamOrigin is the service and the software version of the server that sent the first event of a
// stream. The stream may continue at that version only.
type StreamOrigin struct {
	Key      StreamKey
	Service  string
	Version  string
	Lifetime time.Duration // how long the stream may still be resumed
}

// OriginsMsg gives another gateway, or a control instance, the origins of streams to keep.
type OriginsMsg struct{ Origins []StreamOrigin }

// KeepOriginsReply is a control instance's answer to an [OriginsMsg].
type KeepOriginsReply struct {
	Kept int // the number of streams whose origins it keeps
}

// OriginQuery asks another gateway, or a control instance, for the origin of a stream of a route.
type OriginQuery struct {
	Key   StreamKey
	Route string
}

// OriginReply answers an [OriginQuery].
type OriginReply struct {
	Found  bool
	Origin StreamOrigin  // meaningful if Found
	Single SingleVersion // for any stream of the route; of a control instance: if it leads
	// Several reports that the route leads to several services at this gateway, or that several
	// versions of its service are listed. Earlier builds and control instances do not tell.
	Several bool
	Leads   bool // a control instance that leads answered; earlier builds do not tell
}

// SingleVersion is the only service to which a route led, and the only version of it that was
// listed, for a time up to now. For is 0 if there were several.
type SingleVersion struct {
	Service string
	Version string
	For     time.Duration
}
