package soak

import "fmt"

// Mix is which processes run an earlier build.
type Mix string

// The mixes.
const (
	MixGateways Mix = "gateways" // MixGateways has all gateways run the earlier build.
	MixControls Mix = "controls" // MixControls has all control instances run it.
	MixFirst    Mix = "first"    // MixFirst has the first life of each process run it, and later ones the present build: an upgrade.
	MixLast     Mix = "last"     // MixLast has the first life of each run the present build, and later ones the earlier: a return.
)

// Beside has some processes run an earlier build. It is called before Start.
func (c *Cluster) Beside(earlier string, m Mix) error {
	for _, p := range c.procs {
		switch {
		case m == MixGateways && p.Role == "gateway", m == MixControls && p.Role == "control":
			p.bin = earlier
		case m == MixGateways, m == MixControls:
		case m == MixFirst:
			p.bin, p.later = earlier, p.bin
		case m == MixLast:
			p.later = earlier
		default:
			return fmt.Errorf("no mix of builds is called %q", m)
		}
	}
	return nil
}
