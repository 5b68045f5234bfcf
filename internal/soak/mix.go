package soak

import "fmt"

// BuildMix selects the processes that run an earlier build.
type BuildMix string

// The build mixes.
const (
	MixGateways BuildMix = "gateways" // MixGateways runs the earlier build in all gateways.
	MixControls BuildMix = "controls" // MixControls runs the earlier build in all control instances.
	MixUpgrade  BuildMix = "first"    // MixUpgrade starts each process with the earlier build first and with the present one after that.
	MixRollback BuildMix = "last"     // MixRollback starts each process with the present build first and with the earlier one after that.
)

// UseEarlierBuild makes some processes run an earlier build. It must be called before
// Start.
func (c *Cluster) UseEarlierBuild(earlier string, m BuildMix) error {
	for _, p := range c.procs {
		switch {
		case m == MixGateways && p.Role == "gateway", m == MixControls && p.Role == "control":
			p.bin = earlier
		case m == MixGateways, m == MixControls:
		case m == MixUpgrade:
			p.bin, p.nextBin = earlier, p.bin
		case m == MixRollback:
			p.nextBin = earlier
		default:
			return fmt.Errorf("unknown build mix %q", m)
		}
	}
	return nil
}
