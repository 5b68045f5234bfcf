package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

const (
	adminTimeout = 20 * time.Second
	waitPoll     = 100 * time.Millisecond
	// TokenVariable is the environment variable that holds the operator's token.
	TokenVariable = "WELDCTL_TOKEN"
)

// adminFlags are the flags of the commands that call an instance's admin address.
type adminFlags struct {
	address   string
	tokenFile string
	json      bool
}

func (a *adminFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&a.address, "admin", "127.0.0.1:7301", "admin `address` of any instance, IP:port")
	fs.StringVar(&a.tokenFile, "token-file", "", "`file` with the operator's token; default: $"+TokenVariable)
	fs.BoolVar(&a.json, "json", false, "print JSON")
}

func (a *adminFlags) token(e env) (string, error) {
	if a.tokenFile == "" {
		return e.getenv(TokenVariable), nil
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", eris.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(data)), nil
}

// call sends one request to the admin address and returns the status and the body.
func (a *adminFlags) call(e env, method, path string, body any) (int, []byte, error) {
	token, err := a.token(e)
	if err != nil {
		return 0, nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + a.address + path)
	req.Header.Set("Authorization", "Bearer "+token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, eris.Wrap(err, "encode request")
		}
		req.SetBodyRaw(data)
	}
	status, answer, err := callInstance(a.address, req, adminTimeout)
	return status, answer, eris.Wrapf(err, "call %s", a.address)
}

// errorText renders an error body as readable text.
func errorText(status int, body []byte) string {
	var e protocol.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return fmt.Sprintf("answered %d: %s", status, strings.TrimSpace(string(body)))
	}
	return fmt.Sprintf("%s (%s): %s", e.Error.Code, e.Error.Verdict, e.Error.Message)
}

func runApply(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	number := fs.Uint64("number", 0, "`number` of the configuration: one above the number in force (required)")
	wait := fs.Duration("wait", 0, "wait up to this long for every live instance to have it in force")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if *number == 0 || fs.NArg() == 0 {
		fmt.Fprintln(e.err, "weldctl: apply needs -number and at least one path")
		return exitUsage
	}
	files, err := readFiles(fs.Args())
	if err != nil {
		return failf(e, "%v", err)
	}
	status, body, err := a.call(e, http.MethodPost, "/v1/config", transport.ApplyRequest{Number: *number, Files: files})
	if err != nil {
		return failf(e, "%v; repeat the same apply: a resend is recognized", err)
	}
	if code, done := printApplyResult(e, &a, status, body); done {
		return code
	}
	if *wait > 0 {
		return waitInForce(e, &a, *number, *wait)
	}
	return exitOK
}

// printApplyResult prints the result of an apply; done reports whether the command is
// finished and should exit with code.
func printApplyResult(e env, a *adminFlags, status int, body []byte) (code int, done bool) {
	var reply transport.ApplyReply
	if status == http.StatusUnprocessableEntity && json.Unmarshal(body, &reply) == nil {
		for _, f := range reply.Faults {
			fmt.Fprintln(e.err, f)
		}
		return failf(e, "configuration refused: %d faults", len(reply.Faults)), true
	}
	if status != http.StatusOK {
		return failf(e, "%s", errorText(status, body)), true
	}
	if a.json {
		fmt.Fprintf(e.out, "%s", body)
		return exitOK, false
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return failf(e, "%v", err), true
	}
	fmt.Fprintf(e.out, "accepted: number %d, digest %.12s\n", reply.Number, reply.Digest)
	return exitOK, false
}

// waitInForce polls until every live instance has the configuration number in force. On
// timeout, it lists the instances that do not.
func waitInForce(e env, a *adminFlags, number uint64, timeout time.Duration) int {
	start := time.Now()
	for {
		view, err := a.view(e)
		if err != nil {
			return failf(e, "%v", err)
		}
		outdated := outdatedInstances(view, number)
		if len(outdated) == 0 {
			fmt.Fprintf(e.out, "in force on %d instances after %v\n", len(view.Instances), time.Since(start).Round(time.Millisecond))
			return exitOK
		}
		if time.Since(start) > timeout {
			return failf(e, "accepted, but not in force within %v on: %s", timeout, strings.Join(outdated, ", "))
		}
		time.Sleep(waitPoll)
	}
}

func outdatedInstances(view *transport.ConfigView, number uint64) []string {
	var outdated []string
	for _, p := range view.Instances {
		if p.State == protocol.MemberAlive && p.Number < number {
			outdated = append(outdated, fmt.Sprintf("%s (%d)", p.Name, p.Number))
		}
	}
	return outdated
}

func (a *adminFlags) view(e env) (*transport.ConfigView, error) {
	status, body, err := a.call(e, http.MethodGet, "/v1/config", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.New(errorText(status, body))
	}
	view := &transport.ConfigView{}
	return view, eris.Wrap(json.Unmarshal(body, view), "parse answer")
}

func runDrop(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if fs.NArg() != 1 {
		fmt.Fprintln(e.err, "weldctl: drop needs the name of one replica")
		return exitUsage
	}
	status, body, err := a.call(e, http.MethodDelete, "/v1/replicas/"+fs.Arg(0), nil)
	if err != nil {
		return failf(e, "%v", err)
	}
	if status != http.StatusOK {
		return failf(e, "%s", errorText(status, body))
	}
	fmt.Fprintf(e.out, "%s is being taken out; see weldctl dump\n", fs.Arg(0))
	return exitOK
}

func runGet(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	view, err := a.view(e)
	if err != nil {
		return failf(e, "%v", err)
	}
	if a.json {
		return printJSON(e, view)
	}
	fmt.Fprintf(e.out, "configuration %d, digest %s, in force on %d of %d instances\n", view.Revision.Number, view.Revision.Digest.Short(), countInForce(view.Instances), len(view.Instances))
	if view.Leader != "" {
		fmt.Fprintf(e.out, "leader: %s, when %s last asked\n", view.Leader, a.address)
	}
	printConfig(e, view.Revision.Config)
	printPlaces(e, view.Instances)
	return exitOK
}

func countInForce(places []transport.InstanceConfig) int {
	n := 0
	for _, p := range places {
		if p.InForce {
			n++
		}
	}
	return n
}

func printConfig(e env, c *protocol.Config) {
	if c == nil {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTE\tMODEL\tADAPTER\tPRIORITY\tREPEATABLE")
	for _, r := range c.Routes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\n", r.Name, r.Model, r.Adapter, r.Priority, !r.NotRepeatable)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	fmt.Fprintln(w, "MODEL\tVERSION\tSLOTS\tLEAST SLOTS")
	for _, m := range c.Models {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", m.Name, m.Version, m.Slots, m.MinSlots)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	for _, s := range c.Services {
		fmt.Fprintf(w, "service %s, hedged %v, at most once: %s\n", s.Name, s.Hedge, strings.Join(s.NotRepeatable, " "))
	}
	if f := c.Fleet; f != nil {
		fmt.Fprintf(w, "fleet of at most %d, %d %% headroom, on demand %v\n", f.MaxInstances, f.HeadroomPercent, f.OnDemand)
	}
	fmt.Fprintln(w, "WORKSPACE\tSHARE\tKEYS")
	for _, ws := range c.Workspaces {
		fmt.Fprintf(w, "%s\t%d\t%d\n", ws.Name, ws.Share, len(ws.KeyDigests))
	}
	_ = w.Flush() // Errors on terminal output are ignored.
}

func printPlaces(e env, places []transport.InstanceConfig) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tSTATE\tREADY\tNUMBER\tDIGEST\tNEWEST\tFOR")
	for _, p := range places {
		since := (time.Duration(p.ForMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\t%v\t%s\n", p.Name, p.Domain, p.State, p.Ready, p.Number, p.Digest, p.InForce, since)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
}

func printJSON(e env, v any) int {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return failf(e, "%v", err)
	}
	fmt.Fprintf(e.out, "%s\n", data)
	return exitOK
}
