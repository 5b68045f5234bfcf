package soak

import "fmt"

// BuildMix is which processes run an earlier build.
type BuildMix string

// The mixes.
const (
	MixGateways BuildMix = "gateways" // MixGateways has all gateways run the earlier build.
	MixControls BuildMix = "controls" // MixControls has all control instances run it.
	MixUpgrade  BuildMix = "first"    // MixUpgrade has the first life of each process run it, and later ones the present build: an upgrade.
	MixRollback BuildMix = "last"     // MixRollback has the first life of each run the present build, and later ones the earlier: a return.
)

// UseEarlierBuild has some processes run an earlier build. It is called before Start.
func (c *Cluster) UseEarlierBuild(earlier string, m BuildMix) error {
	for _, p := range c.procs {
		switch {
		case m == MixGateways && p.Role == "gateway", m == MixControls && p.Role == "control":
			p.bin = earlier
		case m == MixGateways, m == MixControls:
		case m == MixUpgrade:
			p.bin, p.later = earlier, p.bin
		case m == MixRollback:
			p.later = earlier
		default:
			return fmt.Errorf("no mix of builds is called %q", m)
		}
	}
	return nil
}
