// Package testseed fixes the seed of property tests, so that a test gives the
// same verdict each time. A test file imports it for its effect:
//
//	import _ "github.com/weldstream/weldstream/internal/testseed"
//
// To look further, name another seed or more cases:
//
//	go test ./coordination/fleet -rapid.seed 7 -rapid.checks 5000
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // It registers the flag that is set here.
)

// Seed is the seed of every property test that names none.
const Seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err) // The flag is rapid's; a rename of it must not go unnoticed.
	}
}
