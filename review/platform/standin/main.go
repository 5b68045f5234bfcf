//go:build review

// Command standin runs the cases of the review: it starts the project's own processes on loopback
// addresses, plays the clients, the operator, the platform and the replicas that the users' pages
// describe, and checks one rule.
//
//	standin case NAME -dir FOLDER   runs a case; TROUBLE=0 in the environment leaves the disruption out
//	standin replica ...             is one replica, a process of its own
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin case NAME -dir FOLDER | standin replica ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "replica":
		runReplica(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2], os.Args[3:]))
	}
	os.Exit(exitNotRun)
}
