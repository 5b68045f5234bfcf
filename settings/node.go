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

// Node are the settings of one process that is a gateway or a control instance
// on a platform with machines of several classes. The roles share one file
// layout, so that one template lays both.
type Node struct {
	Name        string            `yaml:"name" validate:"required,name"`                    // Name is unique among all instances.
	Domain      string            `yaml:"domain" validate:"required,name"`                  // Domain is the failure domain.
	Region      string            `yaml:"region" validate:"omitempty,name"`                 // Region is the one that the domain lies in; empty where all domains lie in one.
	Domains     map[string]string `yaml:"domains" validate:"dive,keys,name,endkeys,name"`   // Domains are the regions of all failure domains, by domain; empty where all lie in one.
	Caller      string            `yaml:"caller" validate:"omitempty,ipport"`               // Caller is where a gateway's callers connect.
	Ready       string            `yaml:"ready" validate:"omitempty,ipport"`                // Ready is where a gateway tells the balancer whether it is ready.
	Operator    string            `yaml:"operator" validate:"omitempty,ipport"`             // Operator is where a control instance serves operators.
	Peer        string            `yaml:"peer" validate:"required,ipport"`                  // Peer is where a control instance serves the other instances.
	Metrics     string            `yaml:"metrics" validate:"omitempty,ipport"`              // Metrics serves metrics and the dump.
	Bind        string            `yaml:"bind" validate:"omitempty,ip"`                     // Bind is the IP number to listen at, where the addresses above are of a proxy before it.
	DataDir     string            `yaml:"data_dir"`                                         // DataDir is the disk's folder of a control instance.
	Seeds       []string          `yaml:"seeds" validate:"required,min=1,dive,ipport"`      // Seeds are the operator addresses of control instances to meet first.
	Found       bool              `yaml:"found"`                                            // Found lets the seeds found the group: the first start of all.
	Tolerate    int               `yaml:"tolerate" validate:"min=0,max=10"`                 // Tolerate is how many control instances may be lost at once.
	ClusterKey  string            `yaml:"cluster_key"`                                      // ClusterKey guards the links between instances; empty trusts the network.
	MemoryMB    int               `yaml:"memory_mb" validate:"min=0"`                       // MemoryMB is what the process may take; 0 sets no limit.
	Descriptors int               `yaml:"descriptors" validate:"min=0"`                     // Descriptors are what the process may have open; 0 sets no limit.
	Memory      NodeMemory        `yaml:"memory"`                                           // Memory bounds what a gateway holds for its callers.
	Source      NodeSource        `yaml:"source" validate:"required"`                       // Source is the platform's API.
	Bounds      NodeBounds        `yaml:"bounds"`                                           // Bounds are the promises that timers are derived from.
	Prompts     NodePrompts       `yaml:"prompts"`                                          // Prompts says what a gateway does with what servers have read of prompts.
	LogLevel    string            `yaml:"log_level" validate:"oneof=debug info warn error"` // LogLevel is the least level that is logged.
	Replication Replica           `yaml:"replica"`                                          // Replication tunes the group.
}

// NodeMemory bounds what a gateway holds for its callers.
type NodeMemory struct {
	Part     float64       `yaml:"part" validate:"min=0,max=0.6"`       // Part is what of memory_mb bodies, answers and connections may take; 0 sets no limit.
	Rate     int           `yaml:"rate" validate:"min=0,max=1048576"`   // Rate is the least, in bytes a second, at which a caller sends a body or takes an answer; 0 asks for a byte in each window.
	Window   time.Duration `yaml:"window" validate:"dmin=1s,dmax=10m"`  // Window is the time over which the rate holds.
	SocketKB int           `yaml:"socket_kb" validate:"min=0,max=4096"` // SocketKB is what the kernel may keep of a caller's or server's connection each way, in KB; 0 leaves it to the kernel.
}

const (
	// keptDescriptors are left for files, listeners and the links to control instances:
	// what platforms reserve, and some tens of links.
	keptDescriptors = 264
	// callerPart of the others is for callers. A request has one descriptor towards its
	// caller and at most one towards a server, and some connections to servers rest.
	callerPart = 0.45
)

// MaxCallerBytes is how many bytes may be held for callers; 0 sets no limit.
func (n *Node) MaxCallerBytes() int64 { return int64(n.Memory.Part * float64(n.MemoryMB) * (1 << 20)) }

// MaxCallerConnections is how many connections callers may have; 0 sets no limit.
func (n *Node) MaxCallerConnections() int {
	if n.Descriptors == 0 {
		return 0
	}
	return max(1, int(callerPart*float64(n.Descriptors-keptDescriptors)))
}

// MaxServerConnections is how many connections there may be to servers; 0 sets no limit.
func (n *Node) MaxServerConnections() int {
	if n.Descriptors == 0 {
		return 0
	}
	return max(1, n.Descriptors-keptDescriptors-n.MaxCallerConnections())
}

// leastHeld is the least that is of use: two bodies of the usual limit, of which one may
// ever be held by a single workspace, and as much for connections.
const leastHeld = 4 * DefaultBodyBytes

// checkMemory returns what contradicts itself in the bounds of memory and descriptors.
func (n *Node) checkMemory(doc *yamlfile.Document) []yamlfile.Fault {
	var faults []yamlfile.Fault
	if held := n.MaxCallerBytes(); n.Caller != "" && held > 0 && held < leastHeld {
		faults = append(faults, doc.Fault("memory_mb", fmt.Sprintf("leaves %d bytes for callers (memory.part of it), fewer than %d: raise either, or set the part to 0", held, leastHeld)))
	}
	if n.Descriptors > 0 && n.Descriptors < 2*keptDescriptors {
		faults = append(faults, doc.Fault("descriptors", fmt.Sprintf("are fewer than %d: %d are kept for files and links between instances, and callers and servers need as many", 2*keptDescriptors, keptDescriptors)))
	}
	return faults
}

// NodeSource is the platform's API: the list of servers and the duties.
type NodeSource struct {
	Address  string   `yaml:"address" validate:"required,ipport"` // Address is the API's.
	ListRate float64  `yaml:"list_rate" validate:"min=0"`         // ListRate is how many list calls a second all instances may make.
	Duties   []string `yaml:"duties"`                             // Duties are those that are owed, by the platform's names; others are ignored.
}

// HasDuty reports whether a duty of a name is owed.
func (s *NodeSource) HasDuty(duty string) bool { return slices.Contains(s.Duties, duty) }

// NodeBounds are promises; every timer that keeps one is derived from it.
type NodeBounds struct {
	Revoke      time.Duration `yaml:"revoke" validate:"dmin=0s,dmax=1h"`          // Revoke is within what a key that was taken away is refused; 0 sets no bound.
	Grace       time.Duration `yaml:"grace" validate:"dmin=100ms,dmax=1h"`        // Grace is between the order to stop and the end.
	Lease       time.Duration `yaml:"lease" validate:"dmin=0s,dmax=1h"`           // Lease is how long a former holder of a duty may still act.
	RetryRatio  float64       `yaml:"retry_ratio" validate:"min=0,max=10"`        // RetryRatio is the part of requests that may be sent again.
	RetryExtra  float64       `yaml:"retry_extra" validate:"min=0"`               // RetryExtra are retries in a window besides.
	RetryWindow time.Duration `yaml:"retry_window" validate:"dmin=100ms,dmax=1h"` // RetryWindow is the window of both.
	QuotaWindow time.Duration `yaml:"quota_window" validate:"dmin=100ms,dmax=1h"` // QuotaWindow is the window in which quotas are checked.
	UsageWindow time.Duration `yaml:"usage_window" validate:"dmin=100ms,dmax=1h"` // UsageWindow is the length of a window of usage reports.
	UsageDue    time.Duration `yaml:"usage_due" validate:"dmin=100ms,dmax=1h"`    // UsageDue is how long after a window its report is due.
	TrialShare  float64       `yaml:"trial_share" validate:"min=0,max=1"`         // TrialShare is the part of a service's requests that a version may get before a roll-out moves to it.
	TrialSlack  float64       `yaml:"trial_slack" validate:"min=0"`               // TrialSlack are requests that it may get besides.
	OrderRepeat time.Duration `yaml:"order_repeat" validate:"dmin=0s,dmax=1h"`    // OrderRepeat is how long the order of a roll-out may be sent again.
}

// NodePrompts are switches of what a gateway does with the memory of prompts, where the
// configuration says that a service's servers offer it.
type NodePrompts struct {
	Copies    bool          `yaml:"copies"`                                  // Copies has servers copy shared parts that another one has read.
	Moves     bool          `yaml:"moves"`                                   // Moves has running answers of leaving servers go on elsewhere.
	MoveAhead time.Duration `yaml:"move_ahead" validate:"dmin=50ms,dmax=1m"` // MoveAhead is how long before its end a leaving server's answers are moved.
}

// NewNode returns node settings with every default filled in.
func NewNode() *Node {
	return &Node{
		LogLevel: DefaultLogLevel,
		Memory:   NodeMemory{Part: DefaultMemoryPart, Rate: DefaultCallerRate, Window: DefaultCallerWindow, SocketKB: DefaultSocketKB},
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
		Replication: Replica{Election: DefaultNodeElection, Heartbeat: DefaultNodeBeat, SnapshotEntries: DefaultNodeSnapshot, ReserveBytes: DefaultNodeReserve, Batch: DefaultCommitBatch},
	}
}

// LoadNode reads a node's settings file. Every fault is returned, each with
// file, line and field; the error is for a file that could not be read at all.
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

// checkRegions returns what contradicts itself in where the domains lie.
func (n *Node) checkRegions(doc *yamlfile.Document) []yamlfile.Fault {
	region, known := n.Domains[n.Domain]
	switch {
	case len(n.Domains) > 0 && !known:
		return []yamlfile.Fault{doc.Fault("domains", fmt.Sprintf("does not tell the region of this instance's domain %q", n.Domain))}
	case n.Region != "" && known && n.Region != region:
		return []yamlfile.Fault{doc.Fault("region", fmt.Sprintf("is %q, but domains has %q in %q", n.Region, n.Domain, region))}
	case n.Region == "" && known:
		return []yamlfile.Fault{doc.Fault("region", fmt.Sprintf("is missing: domains has %q in %q", n.Domain, region))}
	}
	return nil
}

// Topology returns where the failure domains lie.
func (n *Node) Topology() *topology.Topology { return topology.New(n.Domains) }

// Listen returns where to listen for what an address is told to others.
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

// CheckGateway returns what a gateway lacks.
func (n *Node) CheckGateway(file string) []yamlfile.Fault {
	return missing(file, "a gateway", field{"caller", n.Caller}, field{"ready", n.Ready})
}

// CheckControl returns what a control instance lacks.
func (n *Node) CheckControl(file string) []yamlfile.Fault {
	return missing(file, "a control instance", field{"operator", n.Operator}, field{"data_dir", n.DataDir})
}

// field is a setting by its name.
type field struct{ name, value string }

func missing(file, who string, needed ...field) []yamlfile.Fault {
	var faults []yamlfile.Fault
	for _, f := range needed {
		if f.value == "" {
			faults = append(faults, yamlfile.Fault{File: file, Line: 1, Field: f.name, What: "is missing: " + who + " needs it"})
		}
	}
	return faults
}
