// Package coordination is the parent of the decisions, one small package each:
//
//   - route chooses the backend server for an attempt;
//   - admit decides whether a request enters, and under which claim;
//   - attempt follows one request through its attempts;
//   - member keeps the view of the other instances;
//   - replicate is the replicated log's pure step;
//   - group drives that step with a disk, a clock and peers.
//
// All but group are pure: an update takes a typed message and returns the new
// state and commands. Time and randomness come in with the message, so the
// same code runs under the daemon and under a property test.
package coordination
