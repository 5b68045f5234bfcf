// Command weldctl is the command-line tool for operators and callers.
//
//	weldctl check PATH...             validate configuration files and list every fault
//	weldctl apply -number N PATH...   apply the configuration files, all of them or none
//	weldctl get                       show the configuration in force, and on which instances
//	weldctl dump                      show the state of one process
//	weldctl drop NAME                 remove a permanently lost replica from the group
//	weldctl rollout COMMAND           move a service to another version, watch or abort the move
//	weldctl quarantine COMMAND        list the requests and parts of prompts that are kept from servers, or release one
//	weldctl status ADDRESS...         show the leader, the applied entries and the round trips of control instances
//	weldctl send                      send a request as a caller and stream the answer
//	weldctl trace REQUEST FILE...     show the timeline of a request from the logs of several processes
//	weldctl settings                  list every setting of the daemon with its default and bounds
//
// Exit codes: 0 success; 1 refused, invalid or failed; 2 usage error.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env is the environment of a subcommand, which tests replace.
type env struct {
	out    io.Writer
	err    io.Writer
	getenv func(string) string // getenv returns the value of an environment variable.
}

// command is one subcommand.
type command struct {
	help string
	run  func(e env, fs *flag.FlagSet, args []string) int
}

func commands() map[string]command {
	return map[string]command{
		"check":      {"validate configuration files and list every fault", runCheck},
		"apply":      {"apply the configuration files, all of them or none", runApply},
		"get":        {"show the configuration in force, and on which instances", runGet},
		"dump":       {"show the state of one process", runDump},
		"drop":       {"remove a permanently lost replica from the group", runDrop},
		"settings":   {"list every setting of the daemon with its default and bounds", runSettings},
		"trace":      {"show the timeline of a request from the logs of several processes", runTrace},
		"status":     {"show the leader, and the round trips between control instances", runStatus},
		"rollout":    {"move a service to servers of another version: begin, status, watch, abort", runRollout},
		"quarantine": {"list what is kept from servers because servers crashed under it, or release it", runQuarantine},
		"send":       {"send a request as a caller and stream the answer", runSend},
	}
}

func main() {
	os.Exit(run(env{out: os.Stdout, err: os.Stderr, getenv: os.Getenv}, os.Args[1:]))
}

func run(e env, args []string) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" {
		return usage(e)
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		return usage(e)
	}
	fs := flag.NewFlagSet("weldctl "+args[0], flag.ContinueOnError)
	fs.SetOutput(e.err)
	return cmd.run(e, fs, args[1:])
}

func usage(e env) int {
	fmt.Fprintln(e.err, "usage: weldctl COMMAND [flags] [PATH...]; weldctl COMMAND -h lists the flags")
	var names []string
	for name := range commands() {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(e.err, "  %-10s %s\n", name, commands()[name].help)
	}
	fmt.Fprintln(e.err, "exit codes: 0 success; 1 refused, invalid or failed; 2 usage error")
	return exitUsage
}

// parseFlags parses the flags; ok is false if the command should exit with code.
func parseFlags(fs *flag.FlagSet, args []string) (code int, ok bool) {
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, false
	}
	if err != nil {
		return exitUsage, false
	}
	return exitOK, true
}

func failf(e env, format string, args ...any) int {
	fmt.Fprintf(e.err, "weldctl: "+format+"\n", args...)
	return exitFailed
}
