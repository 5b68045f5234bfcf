// Package settings reads the daemon's settings file.
//
// Settings belong to one instance: its name, addresses, failure domain, disk
// and limits. What the operators declare for the whole system (models, routes,
// workspaces) is the configuration, which is replicated and lives elsewhere.
//
// The file is read strictly. An unknown or missing field, an address that is
// not an IP number with a port, or a duration out of range is reported with
// file, line and field; nothing starts from a half understood file.
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
	Caller    string   `yaml:"caller" validate:"required,ipport"`                // Caller is where callers connect.
	Peer      string   `yaml:"peer" validate:"required,ipport"`                  // Peer is where other instances connect.
	Advertise string   `yaml:"peer_advertise" validate:"omitempty,ipport"`       // Advertise is what others connect to, if not Peer.
	Admin     string   `yaml:"admin" validate:"required,ipport"`                 // Admin serves operators, dump and metrics.
	DataDir   string   `yaml:"data_dir"`                                         // DataDir is the disk's folder; empty without a disk.
	Cluster   Cluster  `yaml:"cluster" validate:"required"`                      // Cluster is what all instances share.
	Platform  Platform `yaml:"platform" validate:"required"`                     // Platform is the source of the servers' list.
	Limits    Limits   `yaml:"limits"`                                           // Limits bound what one instance takes on.
	Timeouts  Timeouts `yaml:"timeouts"`                                         // Timeouts bound every wait.
	Replica   Replica  `yaml:"replica"`                                          // Replica tunes the replication group.
	Claims    Claims   `yaml:"claims"`                                           // Claims bound the claims kept.
	Fleet     Fleet    `yaml:"fleet"`                                            // Fleet tunes the leader's purchases.
	LogLevel  string   `yaml:"log_level" validate:"oneof=debug info warn error"` // LogLevel is the least level that is logged.
}

// Cluster is what all instances of one cluster share.
type Cluster struct {
	KeyFile string `yaml:"key_file" validate:"required"` // KeyFile holds the cluster's key.
	// OperatorDigest are the SHA-256 digests, in hexadecimal, of the operators' tokens.
	OperatorDigest []string `yaml:"operator_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	Peers          []Peer   `yaml:"peers" validate:"dive"`         // Peers are instances to meet first.
	Replicas       []string `yaml:"replicas" validate:"dive,name"` // Replicas are the founding members of the group.
}

// Peer is an instance that is known from the start.
type Peer struct {
	Name    string `yaml:"name" validate:"required,name"`      // Name is the instance's name.
	Address string `yaml:"address" validate:"required,ipport"` // Address is its peer address.
}

// Platform is where the list of instances and the notices come from.
type Platform struct {
	Address    string        `yaml:"address" validate:"required,ipport"` // Address is the platform's.
	Poll       time.Duration `yaml:"poll" validate:"dmin=20ms,dmax=1m"`
	NoticePoll time.Duration `yaml:"notice_poll" validate:"dmin=20ms,dmax=10m"`
}

// Limits bound what one instance takes on at once.
type Limits struct {
	BodyBytes int `yaml:"body_bytes" validate:"min=1024,max=268435456"`
	Streams   int `yaml:"streams" validate:"min=1,max=100000"`
	Attempts  int `yaml:"attempts" validate:"min=1,max=20"`
	LoadReads int `yaml:"load_reads" validate:"min=1,max=100000"`
	Queue     int `yaml:"queue" validate:"min=0,max=100000"` // Queue is how many requests wait for a slot of one model.
	// QueueWait is the longest such wait; a request that would wait longer is
	// refused at once.
	QueueWait time.Duration `yaml:"queue_wait" validate:"dmin=0s,dmax=1h"`
}

// Timeouts bound every wait of one instance.
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
	Batch           int           `yaml:"batch" validate:"min=1,max=100000"` // Batch is how many inputs one sync commits at most.
	ReserveBytes    uint64        `yaml:"reserve_bytes"`                     // ReserveBytes of the disk are kept free.
}

// Claims bound the claims of requests that are not repeatable.
type Claims struct {
	Window      time.Duration `yaml:"window" validate:"dmin=1s,dmax=720h"`
	Skew        time.Duration `yaml:"skew" validate:"dmin=0s,dmax=1h"`
	Count       int           `yaml:"count" validate:"min=100,max=10000000"`
	AnswerBytes int           `yaml:"answer_bytes" validate:"min=0,max=1073741824"`
}

// Fleet tunes the leader's purchases; what may be bought at all is part of the
// configuration.
type Fleet struct {
	Settle  time.Duration `yaml:"settle" validate:"dmin=0s,dmax=1h"`
	Surplus time.Duration `yaml:"surplus" validate:"dmin=1s,dmax=24h"`
}

// New returns settings with every default filled in.
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
		Replica: Replica{Election: DefaultElection, Heartbeat: DefaultReplicaBeat, SnapshotEntries: DefaultSnapshotEntries, ReserveBytes: DefaultReserveBytes, Batch: DefaultCommitBatch},
		Fleet:   Fleet{Settle: DefaultFleetSettle, Surplus: DefaultFleetSurplus},
		Claims:  Claims{Window: DefaultClaimWindow, Skew: DefaultClaimSkew, Count: DefaultClaims, AnswerBytes: DefaultAnswerBytes},
	}
}

// Load reads the settings file. Every fault is returned, each with file, line
// and field; the error is for a file that could not be read at all.
func Load(file string) (*Settings, []yamlfile.Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
	}
	s, faults := Parse(file, data)
	return s, faults, nil
}

// Parse reads settings from data; file is only the name used in faults.
func Parse(file string, data []byte) (*Settings, []yamlfile.Fault) {
	s := New()
	doc, faults := yamlfile.Decode(file, data, s)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, s.crossCheck(doc)
}

// crossCheck finds faults that no single field shows.
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
