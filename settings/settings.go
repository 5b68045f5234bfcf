// Package settings reads the settings file of the daemon.
//
// Settings apply to one instance: its name, addresses, failure domain, disk
// and limits. What operators declare for the whole system (models, routes,
// workspaces) is the configuration, which is replicated and not part of this
// package.
//
// Parsing is strict: an unknown or missing field, an address that is not an IP
// address with a port, and a duration out of range are reported with file, line
// and field. The daemon does not start with a file that has a fault.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/yamlfile"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name      string   `yaml:"name" validate:"required,name"`                    // Name is unique in the cluster.
	Domain    string   `yaml:"domain" validate:"required,name"`                  // Domain is the failure domain.
	Caller    string   `yaml:"caller" validate:"required,ipport"`                // Caller is the address that callers connect to.
	Peer      string   `yaml:"peer" validate:"required,ipport"`                  // Peer is the address that other instances connect to.
	Advertise string   `yaml:"peer_advertise" validate:"omitempty,ipport"`       // Advertise is the address announced to other instances, if it differs from Peer.
	Admin     string   `yaml:"admin" validate:"required,ipport"`                 // Admin is the address that serves the operator API, the state dump and the metrics.
	DataDir   string   `yaml:"data_dir"`                                         // DataDir is the data directory; empty on an instance without a disk.
	Cluster   Cluster  `yaml:"cluster" validate:"required"`                      // Cluster holds the settings that all instances share.
	Platform  Platform `yaml:"platform" validate:"required"`                     // Platform is the source of the server list.
	Limits    Limits   `yaml:"limits"`                                           // Limits bounds the work that one instance accepts.
	Timeouts  Timeouts `yaml:"timeouts"`                                         // Timeouts bounds every wait.
	Replica   Replica  `yaml:"replica"`                                          // Replica tunes the replication group.
	Claims    Claims   `yaml:"claims"`                                           // Claims bounds the stored claims.
	Fleet     Fleet    `yaml:"fleet"`                                            // Fleet tunes the leader's purchases of instances.
	LogLevel  string   `yaml:"log_level" validate:"oneof=debug info warn error"` // LogLevel is the lowest level that is logged.
}

// Cluster holds the settings that all instances of one cluster share.
type Cluster struct {
	KeyFile string `yaml:"key_file" validate:"required"` // KeyFile is the file with the cluster's key.
	// OperatorDigest are the SHA-256 digests, in hexadecimal, of the operators' tokens.
	OperatorDigest []string `yaml:"operator_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	Peers          []Peer   `yaml:"peers" validate:"dive"`         // Peers are the instances to contact first.
	Replicas       []string `yaml:"replicas" validate:"dive,name"` // Replicas are the founding members of the replication group.
}

// Peer is an instance that is known at start-up.
type Peer struct {
	Name    string `yaml:"name" validate:"required,name"`      // Name is the instance's name.
	Address string `yaml:"address" validate:"required,ipport"` // Address is its peer address.
}

// Platform is the source of the instance list and of the notices.
type Platform struct {
	Address    string        `yaml:"address" validate:"required,ipport"` // Address is the platform's address.
	Poll       time.Duration `yaml:"poll" validate:"dmin=20ms,dmax=1m"`
	NoticePoll time.Duration `yaml:"notice_poll" validate:"dmin=20ms,dmax=10m"`
}

// Limits bounds the work that one instance accepts at a time.
type Limits struct {
	BodyBytes int `yaml:"body_bytes" validate:"min=1024,max=268435456"`
	Streams   int `yaml:"streams" validate:"min=1,max=100000"`
	Attempts  int `yaml:"attempts" validate:"min=1,max=20"`
	LoadReads int `yaml:"load_reads" validate:"min=1,max=100000"`
	Queue     int `yaml:"queue" validate:"min=0,max=100000"` // Queue is the maximum number of requests that wait for a slot of one model.
	// QueueWait is the maximum time in the queue; a request that would wait
	// longer is refused immediately.
	QueueWait time.Duration `yaml:"queue_wait" validate:"dmin=0s,dmax=1h"`
}

// Timeouts bounds every wait of one instance.
type Timeouts struct {
	Request     time.Duration `yaml:"request" validate:"dmin=100ms,dmax=24h"`
	MaxDeadline time.Duration `yaml:"max_deadline" validate:"dmin=100ms,dmax=24h"`
	FirstByte   time.Duration `yaml:"first_byte" validate:"dmin=10ms,dmax=10m"`
	ChunkGap    time.Duration `yaml:"chunk_gap" validate:"dmin=10ms,dmax=10m"`
	WriteStall  time.Duration `yaml:"write_stall" validate:"dmin=50ms,dmax=10m"`
	Dial        time.Duration `yaml:"dial" validate:"dmin=10ms,dmax=30s"`
	LoadPoll    time.Duration `yaml:"load_poll" validate:"dmin=10ms,dmax=10m"`
	Gossip      time.Duration `yaml:"gossip" validate:"dmin=10ms,dmax=10s"`
	Suspect     time.Duration `yaml:"suspect" validate:"dmin=100ms,dmax=10m"`
	Drain       time.Duration `yaml:"drain" validate:"dmin=0s,dmax=1h"`
}

// Replica tunes the replication group on an instance with a disk.
type Replica struct {
	Election        time.Duration `yaml:"election" validate:"dmin=50ms,dmax=1m"`
	Heartbeat       time.Duration `yaml:"heartbeat" validate:"dmin=5ms,dmax=10s"`
	SnapshotEntries int           `yaml:"snapshot_entries" validate:"min=16,max=10000000"`
	Batch           int           `yaml:"batch" validate:"min=1,max=100000"` // Batch is the maximum number of inputs that one disk sync commits.
	ReserveBytes    uint64        `yaml:"reserve_bytes"`                     // ReserveBytes is the disk space kept free.
}

// Claims bounds the stored claims of requests that are not repeatable.
type Claims struct {
	Window      time.Duration `yaml:"window" validate:"dmin=1s,dmax=720h"`
	Skew        time.Duration `yaml:"skew" validate:"dmin=0s,dmax=1h"`
	Count       int           `yaml:"count" validate:"min=100,max=10000000"`
	AnswerBytes int           `yaml:"answer_bytes" validate:"min=0,max=1073741824"`
}

// Fleet tunes when the leader buys and returns instances; which instances it
// may buy is part of the configuration.
type Fleet struct {
	Settle  time.Duration `yaml:"settle" validate:"dmin=0s,dmax=1h"`
	Surplus time.Duration `yaml:"surplus" validate:"dmin=1s,dmax=24h"`
}

// New returns settings with all defaults set.
func New() *Settings {
	return &Settings{
		LogLevel: DefaultLogLevel,
		Platform: Platform{Poll: DefaultPlatformPoll, NoticePoll: DefaultNoticePoll},
		Limits:   Limits{BodyBytes: DefaultBodyBytes, Streams: DefaultStreams, Attempts: DefaultAttempts, LoadReads: DefaultLoadReads, Queue: DefaultQueue, QueueWait: DefaultQueueWait},
		Timeouts: Timeouts{
			Request:     DefaultRequestDeadline,
			MaxDeadline: DefaultMaxDeadline,
			FirstByte:   DefaultFirstByte,
			ChunkGap:    DefaultChunkGap,
			WriteStall:  DefaultWriteStall,
			Dial:        DefaultDial,
			LoadPoll:    DefaultLoadPoll,
			Gossip:      DefaultGossip,
			Suspect:     DefaultSuspect,
			Drain:       DefaultDrain,
		},
		Replica: Replica{Election: DefaultElection, Heartbeat: DefaultReplicaHeartbeat, SnapshotEntries: DefaultSnapshotEntries, ReserveBytes: DefaultReserveBytes, Batch: DefaultCommitBatch},
		Fleet:   Fleet{Settle: DefaultFleetSettle, Surplus: DefaultFleetSurplus},
		Claims:  Claims{Window: DefaultClaimWindow, Skew: DefaultClaimSkew, Count: DefaultMaxClaims, AnswerBytes: DefaultAnswerBytes},
	}
}

// Load reads the settings file and returns every fault in it with file, line
// and field. The error is non-nil only if the file could not be read.
func Load(file string) (*Settings, []yamlfile.Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
	}
	s, faults := Parse(file, data)
	return s, faults, nil
}

// Parse parses settings from data; file is used only in the text of faults.
func Parse(file string, data []byte) (*Settings, []yamlfile.Fault) {
	s := New()
	doc, faults := yamlfile.Decode(file, data, s)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, s.crossCheck(doc)
}

// crossCheck returns the faults that involve more than one field.
func (s *Settings) crossCheck(doc *yamlfile.Document) []yamlfile.Fault {
	var faults []yamlfile.Fault
	if s.Timeouts.Request > s.Timeouts.MaxDeadline {
		faults = append(faults, doc.Fault("timeouts.request", "is longer than timeouts.max_deadline"))
	}
	if s.Replica.Heartbeat*2 > s.Replica.Election {
		faults = append(faults, doc.Fault("replica.heartbeat", "is more than half of replica.election"))
	}
	if s.IsReplica() && s.DataDir == "" {
		faults = append(faults, doc.Fault("cluster.replicas", "names this instance, which has no data_dir"))
	}
	return faults
}

// IsReplica reports whether this instance is a founding member of the group.
func (s *Settings) IsReplica() bool {
	for _, name := range s.Cluster.Replicas {
		if name == s.Name {
			return true
		}
	}
	return false
}
