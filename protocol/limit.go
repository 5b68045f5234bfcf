package protocol

// The classes of requests that the limits distinguish. Requests of low priority use
// only the capacity that the others leave.
const (
	ClassRegular = iota // priorities normal and high
	ClassLow            // priority low
	NumClasses
)

// ClassOf returns the class of a priority.
func ClassOf(p Priority) int {
	if p < PriorityNormal {
		return ClassLow
	}
	return ClassRegular
}

// Demand is the demand of one workspace for one pool through one instance.
type Demand struct {
	Workspace string
	Share     int             // weight of the workspace relative to the others
	Running   [NumClasses]int // requests that hold a slot, by class
	Queued    [NumClasses]int // requests that wait for a slot, by class
}

// Want returns how many slots the workspace could use in a class.
func (d *Demand) Want(class int) int { return d.Running[class] + d.Queued[class] }

// DemandMsg reports the demand at an instance to the coordinator of a pool. A pool is
// the set of servers for one model.
type DemandMsg struct {
	From string
	Pool string
	Rows []Demand
}

// Grant is the number of slots that one workspace may use through one instance.
type Grant struct {
	Workspace string
	Slots     [NumClasses]int
}

// GrantMsg answers a [DemandMsg]. The grants are leases: they expire unless the next
// answer renews them.
type GrantMsg struct {
	Rows  []Grant
	Spare int // slots that any workspace may use through this instance
}
