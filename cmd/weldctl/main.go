// Command weldctl is the operators' and callers' tool.
//
//	weldctl check PATH...             read configuration files and list every fault
//	weldctl apply -number N PATH...   have them accepted as a whole
//	weldctl get                       what is in force, and where
//	weldctl dump                      the state of one process
//	weldctl drop NAME                 take a replica that is gone for good out of the group
//	weldctl rollout VERB              move a service to another version, look on, turn back
//	weldctl status ADDRESS...         who leads, what control instances have applied, round trips
//	weldctl send                      a caller's request, streamed to the terminal
//	weldctl trace REQUEST FILE...     one request's story from the logs of several processes
//	weldctl settings                  every setting of the daemon with its default and bounds
//
// Exit codes: 0 done; 1 refused, faulty or failed; 2 wrong use.
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

// env is what a subcommand works with, so that tests can replace it.
type env struct {
	out io.Writer
	err io.Writer
	get func(string) string // get reads an environment variable.
}

// command is one subcommand.
type command struct {
	help string
	run  func(e env, fs *flag.FlagSet, args []string) int
}

func commands() map[string]command {
	return map[string]command{
		"check":    {"read configuration files and list every fault", runCheck},
		"apply":    {"have configuration files accepted as a whole", runApply},
		"get":      {"show what is in force, and where", runGet},
		"dump":     {"show the state of one process", runDump},
		"drop":     {"take a replica that is gone for good out of the group", runDrop},
		"settings": {"list every setting of the daemon with its default and bounds", runSettings},
		"trace":    {"tell one request's story from the logs of several processes", runTrace},
		"status":   {"show who leads, and the round trips between control instances", runStatus},
		"rollout":  {"move a service to servers of another version: begin, status, watch, abort", runRollout},
		"send":     {"send a request as a caller and stream the answer", runSend},
	}
}

func main() {
	os.Exit(run(env{out: os.Stdout, err: os.Stderr, get: os.Getenv}, os.Args[1:]))
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
		fmt.Fprintf(e.err, "  %-8s %s\n", name, commands()[name].help)
	}
	fmt.Fprintln(e.err, "exit codes: 0 done; 1 refused, faulty or failed; 2 wrong use")
	return exitUsage
}

// parse reads flags; ok is false when the command should end with code.
func parse(fs *flag.FlagSet, args []string) (code int, ok bool) {
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
