// Package testseed fixes the seed of property tests, so that a test gives the
// same result on each run. A test file imports it for its side effect:
//
//	import _ "github.com/weldstream/weldstream/internal/testseed"
//
// To explore other cases, pass another seed or a higher number of checks:
//
//	go test ./coordination/fleet -rapid.seed 7 -rapid.checks 5000
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that init sets.
)

// Seed is the seed of all property tests that run without -rapid.seed.
const Seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err) // Fails loudly if rapid renames its flag.
	}
}
