package protocol

// The classes of requests that limits tell apart. Requests of low priority
// only get what the others leave.
const (
	ClassRegular = iota // ClassRegular holds the priorities normal and high.
	ClassLow            // ClassLow holds the priority low.
	NumClasses
)

// ClassOf returns the class of a priority.
func ClassOf(p Priority) int {
	if p < PriorityNormal {
		return ClassLow
	}
	return ClassRegular
}

// Demand is what one workspace asks of one pool through one instance.
type Demand struct {
	Workspace string
	Share     int             // Share is the workspace's weight against the others.
	Running   [NumClasses]int // Running are requests that hold a slot, by class.
	Queued    [NumClasses]int // Queued are requests that wait for one, by class.
}

// Want returns how many slots the workspace could use in a class.
func (d *Demand) Want(class int) int { return d.Running[class] + d.Queued[class] }

// DemandMsg tells a pool's coordinator what an instance's callers ask for. A
// pool is what serves one model.
type DemandMsg struct {
	From string
	Pool string
	Rows []Demand
}

// Grant is how many slots one workspace may use through one instance.
type Grant struct {
	Workspace string
	Slots     [NumClasses]int
}

// GrantMsg answers a [DemandMsg]. It is a lease: it holds for a while and is
// renewed by the next answer.
type GrantMsg struct {
	Rows  []Grant
	Spare int // Spare are slots that any workspace may use through this instance.
}
