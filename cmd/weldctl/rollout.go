package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/control"
)

const (
	controlTimeout = 5 * time.Second
	watchInterval  = 500 * time.Millisecond
	// timeLeftPrecision is the precision of the time left, which is printed once per watchInterval.
	timeLeftPrecision = 100 * time.Millisecond
)

// controlFlags are the flags of the commands that call a control instance.
type controlFlags struct {
	path    string // path is that of the resource, such as "/v1/rollouts".
	address string
	json    bool
}

func (f *controlFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.address, "control", "127.0.0.1:7201", "operator `address` of any control instance, IP:port")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

// parseService parses the arguments of a subcommand that takes the name of one service.
// If ok is false, the command should exit with code.
func (f *controlFlags) parseService(e env, fs *flag.FlagSet, subcommand string, args []string) (service string, code int, ok bool) {
	f.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return "", code, false
	}
	if fs.NArg() != 1 {
		fmt.Fprintf(e.err, "weldctl: rollout %s needs the name of one service\n", subcommand)
		return "", exitUsage, false
	}
	return fs.Arg(0), exitOK, true
}

// call sends one request and decodes the answer into v.
func (f *controlFlags) call(method, path string, body, v any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.address + f.path + path)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		req.SetBodyRaw(data)
	}
	status, answer, err := callInstance(f.address, req, controlTimeout)
	if err != nil {
		return eris.Wrapf(err, "call %s", f.address)
	}
	if status != http.StatusOK {
		return eris.New(errorText(status, answer))
	}
	return eris.Wrap(json.Unmarshal(answer, v), "parse answer")
}

// rolloutCommands holds the subcommands of "weldctl rollout".
var rolloutCommands = map[string]func(e env, fs *flag.FlagSet, args []string) int{
	"begin":  runRolloutBegin,
	"status": runRolloutStatus,
	"watch":  runRolloutWatch,
	"abort":  runRolloutAbort,
}

func runRollout(e env, fs *flag.FlagSet, args []string) int {
	if len(args) > 0 {
		if command, ok := rolloutCommands[args[0]]; ok {
			return command(e, fs, args[1:])
		}
	}
	fmt.Fprintln(e.err, `usage: weldctl rollout begin -service NAME -version VERSION -within TIME [-watch]
       weldctl rollout status
       weldctl rollout watch SERVICE
       weldctl rollout abort SERVICE
exit codes of watch: 0 when the roll-out completes, 1 when it is rolled back`)
	return exitUsage
}

func runRolloutBegin(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/rollouts"}
	f.register(fs)
	service := fs.String("service", "", "the `service` to move (required)")
	version := fs.String("version", "", "the `version` to move to (required)")
	within := fs.Duration("within", 0, "the `time` limit of the roll-out, such as 5m (required)")
	watch := fs.Bool("watch", false, "watch the roll-out until it ends")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if *service == "" || *version == "" || *within <= 0 || fs.NArg() > 0 {
		fmt.Fprintln(e.err, "weldctl: rollout begin needs -service, -version and -within, and nothing else")
		return exitUsage
	}
	var r protocol.Rollout
	order := control.RolloutOrder{Service: *service, Version: *version, LimitMS: within.Milliseconds()}
	if err := f.call(http.MethodPost, "", order, &r); err != nil {
		return failf(e, "%v", err)
	}
	if *watch {
		return watchRollout(e, &f, *service)
	}
	if f.json {
		return printJSON(e, r)
	}
	fmt.Fprintf(e.out, "roll-out %d of %s to %s: %s\n", r.Number, r.Service, r.Version, r.Stage)
	return exitOK
}

func runRolloutStatus(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/rollouts"}
	f.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	var list control.RolloutList
	if err := f.call(http.MethodGet, "", nil, &list); err != nil {
		return failf(e, "%v", err)
	}
	if f.json {
		return printJSON(e, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLL-OUT\tSERVICE\tVERSION\tSTAGE\tWITHIN\tREASON")
	for i := range list.Rollouts {
		r := &list.Rollouts[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", r.Number, r.Service, r.Version, r.Stage, r.Limit(), r.Reason)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	for i := range list.Progress {
		fmt.Fprintln(e.out, progressText(&list.Progress[i]))
	}
	return exitOK
}

// progressText renders the progress of a running roll-out as one line.
func progressText(p *protocol.RolloutProgress) string {
	left := (time.Duration(p.LeftMS) * time.Millisecond).Round(timeLeftPrecision)
	return fmt.Sprintf("%s to %s: %s, %.1f %% of the requests, %d of %d answers failed (others %d of %d), evidence %.1f for failures and %.1f for slowness, %d answers on former servers, %s left",
		p.Rollout.Service, p.Rollout.Version, p.Rollout.Stage, 100*p.Share, p.NewFailed, p.New, p.OldFailed, p.Old, p.Failures, p.Slowness, p.OldRunning, left)
}

func runRolloutWatch(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/rollouts"}
	service, code, ok := f.parseService(e, fs, "watch", args)
	if !ok {
		return code
	}
	return watchRollout(e, &f, service)
}

// watchRollout prints a line per watchInterval until the roll-out ends. The error of a failed
// request is printed and the request is repeated: control instances may be electing a leader.
func watchRollout(e env, f *controlFlags, service string) int {
	for failures := 0; ; time.Sleep(watchInterval) {
		var list control.RolloutList
		if err := f.call(http.MethodGet, "", nil, &list); err != nil {
			if failures++; failures > maxWatchFailures {
				return failf(e, "%v", err)
			}
			fmt.Fprintf(e.err, "weldctl: %v; retrying\n", err)
			continue
		}
		failures = 0
		r := findRollout(&list, service)
		switch {
		case r == nil:
			return failf(e, "service %q never had a roll-out", service)
		case r.Stage == protocol.RolloutCompleted:
			fmt.Fprintf(e.out, "completed: %s\n", r.Reason)
			return exitOK
		case r.Stage == protocol.RolloutRolledBack:
			return failf(e, "rolled back: %s", r.Reason)
		}
		for i := range list.Progress {
			if list.Progress[i].Rollout.Number == r.Number {
				fmt.Fprintln(e.out, progressText(&list.Progress[i]))
			}
		}
	}
}

// maxWatchFailures is the number of consecutive failures that end a watch: about ten seconds.
const maxWatchFailures = 20

func findRollout(list *control.RolloutList, service string) *protocol.Rollout {
	for i := range list.Rollouts {
		if list.Rollouts[i].Service == service {
			return &list.Rollouts[i]
		}
	}
	return nil
}

func runRolloutAbort(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/rollouts"}
	service, code, ok := f.parseService(e, fs, "abort", args)
	if !ok {
		return code
	}
	var r protocol.Rollout
	if err := f.call(http.MethodDelete, "/"+url.PathEscape(service), nil, &r); err != nil {
		return failf(e, "%v", err)
	}
	if r.Stage != protocol.RolloutRolledBack {
		return failf(e, "%s: %s", r.Stage, r.Reason)
	}
	fmt.Fprintf(e.out, "roll-out %d of %s is turned back\n", r.Number, r.Service)
	return exitOK
}
