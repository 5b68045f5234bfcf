// Package coordination is the parent of the packages that hold the decision
// logic, among them:
//
//   - route chooses the backend server for an attempt;
//   - admit decides from the claim whether a request may run;
//   - attempt is the state machine of a request and its attempts;
//   - member keeps the membership view of the other instances;
//   - replicate is the deterministic state machine of the replicated log;
//   - group connects that state machine to a disk, a clock and peers.
//
// All of these but group are free of I/O: an update takes a typed message and
// returns the new state and commands. Time and randomness are passed in with the
// message, so the same code runs in the daemon and in property tests.
package coordination
