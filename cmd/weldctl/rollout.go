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
	rolloutTimeout = 5 * time.Second
	watchPause     = 500 * time.Millisecond
	// leftPrecision is that of the time left, of which a line is printed each watchPause.
	leftPrecision = 100 * time.Millisecond
)

// rolloutFlags are shared by the calls of a control instance.
type rolloutFlags struct {
	address string
	json    bool
}

func (f *rolloutFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.address, "control", "127.0.0.1:7201", "operator `address` of any control instance, IP:port")
	fs.BoolVar(&f.json, "json", false, "print JSON for a script")
}

// parseService parses the arguments of a subcommand that takes the name of one service.
// Without ok, code is the exit status.
func (f *rolloutFlags) parseService(e env, fs *flag.FlagSet, subcommand string, args []string) (service string, code int, ok bool) {
	f.register(fs)
	if code, ok := parse(fs, args); !ok {
		return "", code, false
	}
	if fs.NArg() != 1 {
		fmt.Fprintf(e.err, "weldctl: rollout %s needs the name of one service\n", subcommand)
		return "", exitUsage, false
	}
	return fs.Arg(0), exitOK, true
}

// call makes one call and reads its answer into v.
func (f *rolloutFlags) call(method, path string, body, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.address + "/v1/rollouts" + path)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		req.SetBodyRaw(data)
	}
	if err := fasthttp.DoTimeout(req, resp, rolloutTimeout); err != nil {
		return eris.Wrapf(err, "reach %s", f.address)
	}
	if resp.StatusCode() != http.StatusOK {
		return eris.New(refusalText(resp.StatusCode(), resp.Body()))
	}
	return eris.Wrap(json.Unmarshal(resp.Body(), v), "parse answer")
}

// rolloutVerbs are the subcommands of "weldctl rollout".
var rolloutVerbs = map[string]func(e env, fs *flag.FlagSet, args []string) int{
	"begin":  runRolloutBegin,
	"status": runRolloutStatus,
	"watch":  runRolloutWatch,
	"abort":  runRolloutAbort,
}

func runRollout(e env, fs *flag.FlagSet, args []string) int {
	if len(args) > 0 {
		if verb, ok := rolloutVerbs[args[0]]; ok {
			return verb(e, fs, args[1:])
		}
	}
	fmt.Fprintln(e.err, `usage: weldctl rollout begin -service NAME -version VERSION -within TIME [-watch]
       weldctl rollout status
       weldctl rollout watch SERVICE
       weldctl rollout abort SERVICE
watch ends with 0 once it is completed, with 1 once it is rolled back`)
	return exitUsage
}

func runRolloutBegin(e env, fs *flag.FlagSet, args []string) int {
	var f rolloutFlags
	f.register(fs)
	service := fs.String("service", "", "the `service` that moves (required)")
	version := fs.String("version", "", "the `version` that it moves to (required)")
	within := fs.Duration("within", 0, "the `time` in which it is to be over, such as 5m (required)")
	watch := fs.Bool("watch", false, "stay until it is over")
	if code, ok := parse(fs, args); !ok {
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
	var f rolloutFlags
	f.register(fs)
	if code, ok := parse(fs, args); !ok {
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
	_ = w.Flush() // Writes to the terminal.
	for i := range list.Progress {
		fmt.Fprintln(e.out, progressText(&list.Progress[i]))
	}
	return exitOK
}

// progressText is one line on a roll-out that runs.
func progressText(p *protocol.RolloutProgress) string {
	left := (time.Duration(p.LeftMS) * time.Millisecond).Round(leftPrecision)
	return fmt.Sprintf("%s to %s: %s, %.1f %% of the requests, %d of %d answers failed (others %d of %d), evidence %.1f for failures and %.1f for slowness, %d answers on former servers, %s left",
		p.Rollout.Service, p.Rollout.Version, p.Rollout.Stage, 100*p.Share, p.NewFailed, p.New, p.OldFailed, p.Old, p.Failures, p.Slowness, p.OldRunning, left)
}

func runRolloutWatch(e env, fs *flag.FlagSet, args []string) int {
	var f rolloutFlags
	service, code, ok := f.parseService(e, fs, "watch", args)
	if !ok {
		return code
	}
	return watchRollout(e, &f, service)
}

// watchRollout prints a line each watchPause until the roll-out is over. A request that
// fails is printed and repeated: control instances may be electing a leader.
func watchRollout(e env, f *rolloutFlags, service string) int {
	for failures := 0; ; time.Sleep(watchPause) {
		var list control.RolloutList
		if err := f.call(http.MethodGet, "", nil, &list); err != nil {
			if failures++; failures > mostFailures {
				return failf(e, "%v", err)
			}
			fmt.Fprintf(e.err, "weldctl: %v; asked again\n", err)
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

// mostFailures in a row end a watch: about ten seconds.
const mostFailures = 20

func findRollout(list *control.RolloutList, service string) *protocol.Rollout {
	for i := range list.Rollouts {
		if list.Rollouts[i].Service == service {
			return &list.Rollouts[i]
		}
	}
	return nil
}

func runRolloutAbort(e env, fs *flag.FlagSet, args []string) int {
	var f rolloutFlags
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
