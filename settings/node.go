package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/internal/yamlfile"
)

// Node holds the settings of one process that runs as a gateway or as a control
// instance, on a platform with several classes of machines. Both roles share one
// file layout, so that one template serves both.
type Node struct {
	Name        string            `yaml:"name" validate:"required,name"`                    // Name is unique among all instances.
	Domain      string            `yaml:"domain" validate:"required,name"`                  // Domain is the failure domain.
	Region      string            `yaml:"region" validate:"omitempty,name"`                 // Region is the region of the domain; empty if all domains are in one region.
	Domains     map[string]string `yaml:"domains" validate:"dive,keys,name,endkeys,name"`   // Domains maps every failure domain to its region; empty if all domains are in one region.
	Caller      string            `yaml:"caller" validate:"omitempty,ipport"`               // Caller is the address that callers of a gateway connect to.
	Ready       string            `yaml:"ready" validate:"omitempty,ipport"`                // Ready is the address of the readiness endpoint that the load balancer polls on a gateway.
	Operator    string            `yaml:"operator" validate:"omitempty,ipport"`             // Operator is the address of the operator API of a control instance.
	Peer        string            `yaml:"peer" validate:"required,ipport"`                  // Peer is the address on which a control instance serves the other instances, and a gateway serves requests that other gateways pass on; a gateway does not if it equals metrics.
	Metrics     string            `yaml:"metrics" validate:"omitempty,ipport"`              // Metrics is the address that serves the metrics and the state dump.
	Bind        string            `yaml:"bind" validate:"omitempty,ip"`                     // Bind is the IP address to listen on if the addresses above are those of a proxy in front of the process.
	ConnectFrom string            `yaml:"connect_from" validate:"omitempty,ip"`             // ConnectFrom is the IP address that a gateway's connections to backend servers come from; empty for the choice of the kernel.
	DataDir     string            `yaml:"data_dir"`                                         // DataDir is the data directory of a control instance.
	Seeds       []string          `yaml:"seeds" validate:"required,min=1,dive,ipport"`      // Seeds are the operator addresses of the control instances to contact first.
	Found       bool              `yaml:"found"`                                            // Found lets the seeds found the replication group; set it only for the first start of the cluster.
	Tolerate    int               `yaml:"tolerate" validate:"min=0,max=10"`                 // Tolerate is the number of control instances that may fail at the same time.
	ClusterKey  string            `yaml:"cluster_key"`                                      // ClusterKey authenticates the links between instances; if empty, the network is trusted.
	MemoryMB    int               `yaml:"memory_mb" validate:"min=0"`                       // MemoryMB is the memory that the process may use; 0 sets no limit.
	Descriptors int               `yaml:"descriptors" validate:"min=0"`                     // Descriptors is the number of file descriptors that the process may open; 0 sets no limit.
	Memory      NodeMemory        `yaml:"memory"`                                           // Memory bounds the memory that a gateway holds for its callers.
	Source      NodeSource        `yaml:"source" validate:"required"`                       // Source is the platform's API.
	Bounds      NodeBounds        `yaml:"bounds"`                                           // Bounds are the guarantees from which timers are derived.
	Prompts     NodePrompts       `yaml:"prompts"`                                          // Prompts controls how a gateway uses the prompt caches of servers.
	LogLevel    string            `yaml:"log_level" validate:"oneof=debug info warn error"` // LogLevel is the lowest level that is logged.
	Replication Replica           `yaml:"replica"`                                          // Replication tunes the replication group.
}

// NodeMemory bounds the memory that a gateway holds for its callers.
type NodeMemory struct {
	Fraction float64       `yaml:"part" validate:"min=0,max=0.6"`       // Fraction is the fraction of memory_mb that bodies, answers and connections may use; 0 sets no limit.
	Rate     int           `yaml:"rate" validate:"min=0,max=1048576"`   // Rate is the minimum rate, in bytes per second, at which a caller must send a body or read an answer; 0 requires one byte per window.
	Window   time.Duration `yaml:"window" validate:"dmin=1s,dmax=10m"`  // Window is the time over which the rate is measured.
	SocketKB int           `yaml:"socket_kb" validate:"min=0,max=4096"` // SocketKB is the kernel buffer of a connection of a caller or server in each direction, in KB; 0 leaves the default of the kernel.
}

const (
	// reservedDescriptors are kept for files, listeners and the links to control
	// instances: the number that platforms reserve, and some tens of links.
	reservedDescriptors = 264
	// callerShare is the share of the other descriptors that callers may use. It is below
	// one half: a request needs one descriptor for its caller and at most one for a server,
	// and some server connections are idle.
	callerShare = 0.45
	// peerShare is the share of the other descriptors that requests from other gateways may
	// use, and the share that requests passed on to other gateways may use.
	peerShare = 0.06
)

// MaxCallerBytes returns the number of bytes that may be held for callers; 0 sets no limit.
func (n *Node) MaxCallerBytes() int64 {
	return int64(n.Memory.Fraction * float64(n.MemoryMB) * (1 << 20))
}

// MaxCallerConnections returns the maximum number of caller connections; 0 sets no limit.
func (n *Node) MaxCallerConnections() int {
	if n.Descriptors == 0 {
		return 0
	}
	return max(1, int(callerShare*float64(n.Descriptors-reservedDescriptors)))
}

// MaxServerConnections returns the maximum number of connections to servers; 0 sets no limit.
func (n *Node) MaxServerConnections() int {
	if n.Descriptors == 0 {
		return 0
	}
	return max(1, n.Descriptors-reservedDescriptors-n.MaxCallerConnections()-2*n.MaxPeerConnections())
}

// MaxPeerConnections returns the maximum number of connections from other gateways, which is also
// that of connections to them; 0 sets no limit.
func (n *Node) MaxPeerConnections() int {
	if n.Descriptors == 0 {
		return 0
	}
	return max(1, int(peerShare*float64(n.Descriptors-reservedDescriptors)))
}

// minCallerBytes is the smallest useful limit: two bodies of the default maximum size, of
// which a single workspace may hold only one, and the same amount for connections.
const minCallerBytes = 4 * DefaultBodyBytes

// checkMemory returns the faults in the limits of memory and descriptors.
func (n *Node) checkMemory(doc *yamlfile.Document) []yamlfile.Fault {
	var faults []yamlfile.Fault
	if callerBytes := n.MaxCallerBytes(); n.Caller != "" && callerBytes > 0 && callerBytes < minCallerBytes {
		faults = append(faults, doc.Fault("memory_mb", fmt.Sprintf("leaves %d bytes for callers (memory.part of it), fewer than the required %d: raise either setting, or set memory.part to 0", callerBytes, minCallerBytes)))
	}
	if n.Descriptors > 0 && n.Descriptors < 2*reservedDescriptors {
		faults = append(faults, doc.Fault("descriptors", fmt.Sprintf("are fewer than %d: %d are reserved for files and links between instances, and callers and servers need at least as many", 2*reservedDescriptors, reservedDescriptors)))
	}
	return faults
}

// NodeSource is the platform's API, which provides the server list and receives the
// results of duties.
type NodeSource struct {
	Address  string   `yaml:"address" validate:"required,ipport"` // Address is the API's address.
	ListRate float64  `yaml:"list_rate" validate:"min=0"`         // ListRate is the maximum number of list calls per second, all instances together.
	Duties   []string `yaml:"duties"`                             // Duties are the duties that the platform requires, by the platform's names; unknown ones are ignored.
}

// HasDuty reports whether the platform requires the duty with this name.
func (s *NodeSource) HasDuty(duty string) bool { return slices.Contains(s.Duties, duty) }

// NodeBounds holds the guarantees of a node; the timers that enforce them are derived from
// these values.
type NodeBounds struct {
	Revoke      time.Duration `yaml:"revoke" validate:"dmin=0s,dmax=1h"`          // Revoke is the time within which every instance refuses a revoked key; 0 sets no bound.
	Grace       time.Duration `yaml:"grace" validate:"dmin=100ms,dmax=1h"`        // Grace is the time from the stop signal to the end of the process.
	Lease       time.Duration `yaml:"lease" validate:"dmin=0s,dmax=1h"`           // Lease is how long a former holder of a duty may still act.
	RetryRatio  float64       `yaml:"retry_ratio" validate:"min=0,max=10"`        // RetryRatio is the fraction of requests that may be retried.
	RetryExtra  float64       `yaml:"retry_extra" validate:"min=0"`               // RetryExtra is the number of retries allowed in a window in addition to retry_ratio.
	RetryWindow time.Duration `yaml:"retry_window" validate:"dmin=100ms,dmax=1h"` // RetryWindow is the window over which both are counted.
	QuotaWindow time.Duration `yaml:"quota_window" validate:"dmin=100ms,dmax=1h"` // QuotaWindow is the window over which quotas are checked.
	UsageWindow time.Duration `yaml:"usage_window" validate:"dmin=100ms,dmax=1h"` // UsageWindow is the window that one usage report covers.
	UsageDue    time.Duration `yaml:"usage_due" validate:"dmin=100ms,dmax=1h"`    // UsageDue is how long after the end of its window a usage report is due.
	TrialShare  float64       `yaml:"trial_share" validate:"min=0,max=1"`         // TrialShare is the fraction of a service's requests that a new version may receive before a roll-out moves to it.
	TrialSlack  float64       `yaml:"trial_slack" validate:"min=0"`               // TrialSlack is the number of requests that the version may receive in addition to trial_share.
	OrderRepeat time.Duration `yaml:"order_repeat" validate:"dmin=0s,dmax=1h"`    // OrderRepeat is the time during which the order of a roll-out may be sent again.
}

// NodePrompts controls how a gateway uses the prompt caches of servers. It applies to services
// whose servers, by the configuration, offer such a cache.
type NodePrompts struct {
	Copies    bool          `yaml:"copies"`                                  // Copies lets servers copy shared prompt prefixes that another server has computed.
	Moves     bool          `yaml:"moves"`                                   // Moves lets running answers continue on other servers when their server leaves.
	MoveAhead time.Duration `yaml:"move_ahead" validate:"dmin=50ms,dmax=1m"` // MoveAhead is how long before the end of a leaving server its answers are moved.
}

// NewNode returns node settings with all defaults set.
func NewNode() *Node {
	return &Node{
		LogLevel: DefaultLogLevel,
		Memory:   NodeMemory{Fraction: DefaultMemoryFraction, Rate: DefaultCallerRate, Window: DefaultCallerWindow, SocketKB: DefaultSocketKB},
		Source:   NodeSource{ListRate: DefaultListRate},
		Bounds: NodeBounds{
			Revoke:      DefaultRevoke,
			Grace:       DefaultGrace,
			Lease:       DefaultDutyLease,
			RetryRatio:  DefaultRetryRatio,
			RetryWindow: DefaultRetryWindow,
			QuotaWindow: DefaultQuotaWindow,
			UsageWindow: DefaultUsageWindow,
			UsageDue:    DefaultUsageDue,
			TrialShare:  DefaultTrialShare,
			TrialSlack:  DefaultTrialSlack,
			OrderRepeat: DefaultOrderRepeat,
		},
		Prompts:     NodePrompts{Copies: DefaultCopies, Moves: DefaultMoves, MoveAhead: DefaultMoveAhead},
		Replication: Replica{Election: DefaultNodeElection, Heartbeat: DefaultNodeHeartbeat, SnapshotEntries: DefaultNodeSnapshot, ReserveBytes: DefaultNodeReserve, Batch: DefaultCommitBatch},
	}
}

// LoadNode reads the settings file of a node and returns every fault in it with
// file, line and field. The error is non-nil only if the file could not be read.
func LoadNode(file string) (*Node, []yamlfile.Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
	}
	n := NewNode()
	doc, faults := yamlfile.Decode(file, data, n)
	if len(faults) == 0 {
		faults = append(n.checkRegions(doc), n.checkMemory(doc)...)
	}
	return n, faults, nil
}

// checkRegions returns the contradictions between domain, region and domains.
func (n *Node) checkRegions(doc *yamlfile.Document) []yamlfile.Fault {
	region, known := n.Domains[n.Domain]
	switch {
	case len(n.Domains) > 0 && !known:
		return []yamlfile.Fault{doc.Fault("domains", fmt.Sprintf("has no region for this instance's domain %q", n.Domain))}
	case n.Region != "" && known && n.Region != region:
		return []yamlfile.Fault{doc.Fault("region", fmt.Sprintf("is %q, but domains places domain %q in region %q", n.Region, n.Domain, region))}
	case n.Region == "" && known:
		return []yamlfile.Fault{doc.Fault("region", fmt.Sprintf("is missing: domains places domain %q in region %q", n.Domain, region))}
	}
	return nil
}

// Topology returns the regions of the failure domains.
func (n *Node) Topology() *topology.Topology { return topology.New(n.Domains) }

// Listen returns the address to listen on for an address that is announced to others.
func (n *Node) Listen(address string) string {
	if n.Bind == "" {
		return address
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(n.Bind, port)
}

// CheckGateway returns a fault for each missing setting that a gateway needs.
func (n *Node) CheckGateway(file string) []yamlfile.Fault {
	return missingFields(file, "a gateway", field{"caller", n.Caller}, field{"ready", n.Ready})
}

// CheckControl returns a fault for each missing setting that a control instance needs.
func (n *Node) CheckControl(file string) []yamlfile.Fault {
	return missingFields(file, "a control instance", field{"operator", n.Operator}, field{"data_dir", n.DataDir})
}

// field is a setting with its name in the file.
type field struct{ name, value string }

func missingFields(file, role string, required ...field) []yamlfile.Fault {
	var faults []yamlfile.Fault
	for _, f := range required {
		if f.value == "" {
			faults = append(faults, yamlfile.Fault{File: file, Line: 1, Field: f.name, What: "is missing: " + role + " requires it"})
		}
	}
	return faults
}
