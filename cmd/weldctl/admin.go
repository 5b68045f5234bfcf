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
	// TokenVariable names the environment variable with the operator's token.
	TokenVariable = "WELDCTL_TOKEN"
)

// adminFlags are shared by the commands that talk to an instance's admin
// address.
type adminFlags struct {
	address   string
	tokenFile string
	json      bool
}

func (a *adminFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&a.address, "admin", "127.0.0.1:7301", "admin `address` of any instance, IP:port")
	fs.StringVar(&a.tokenFile, "token-file", "", "`file` with the operator's token; else $"+TokenVariable)
	fs.BoolVar(&a.json, "json", false, "print JSON for a script")
}

func (a *adminFlags) token(e env) (string, error) {
	if a.tokenFile == "" {
		return e.get(TokenVariable), nil
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", eris.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(data)), nil
}

// call makes one request to the admin address and returns status and body.
func (a *adminFlags) call(e env, method, path string, body any) (int, []byte, error) {
	token, err := a.token(e)
	if err != nil {
		return 0, nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
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
	if err := fasthttp.DoTimeout(req, resp, adminTimeout); err != nil {
		return 0, nil, eris.Wrapf(err, "reach %s", a.address)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// refusalText renders an error body for a person.
func refusalText(status int, body []byte) string {
	var e protocol.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return fmt.Sprintf("answered %d: %s", status, strings.TrimSpace(string(body)))
	}
	return fmt.Sprintf("%s (%s): %s", e.Error.Code, e.Error.Verdict, e.Error.Message)
}

func runApply(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	number := fs.Uint64("number", 0, "the configuration's `number`: one above the one in force (required)")
	wait := fs.Duration("wait", 0, "wait up to this long until every live instance has it in force")
	if code, ok := parse(fs, args); !ok {
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
		return failf(e, "%v; send the same apply again: a resend is recognized", err)
	}
	if code, done := applyOutcome(e, &a, status, body); done {
		return code
	}
	if *wait > 0 {
		return waitInForce(e, &a, *number, *wait)
	}
	return exitOK
}

// applyOutcome prints the answer; done is true when the command is over.
func applyOutcome(e env, a *adminFlags, status int, body []byte) (code int, done bool) {
	var reply transport.ApplyReply
	if status == http.StatusUnprocessableEntity && json.Unmarshal(body, &reply) == nil {
		for _, f := range reply.Faults {
			fmt.Fprintln(e.err, f)
		}
		return failf(e, "refused whole: %d faults", len(reply.Faults)), true
	}
	if status != http.StatusOK {
		return failf(e, "%s", refusalText(status, body)), true
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

// waitInForce polls until every live instance has the number in force and
// lists those that have not.
func waitInForce(e env, a *adminFlags, number uint64, limit time.Duration) int {
	began := time.Now()
	for {
		view, err := a.view(e)
		if err != nil {
			return failf(e, "%v", err)
		}
		behind := behindOf(view, number)
		if len(behind) == 0 {
			fmt.Fprintf(e.out, "in force on %d instances after %v\n", len(view.Instances), time.Since(began).Round(time.Millisecond))
			return exitOK
		}
		if time.Since(began) > limit {
			return failf(e, "accepted, but not in force within %v on: %s", limit, strings.Join(behind, ", "))
		}
		time.Sleep(waitPoll)
	}
}

func behindOf(view *transport.ConfigView, number uint64) []string {
	var behind []string
	for _, p := range view.Instances {
		if p.State == protocol.MemberAlive && p.Number < number {
			behind = append(behind, fmt.Sprintf("%s (%d)", p.Name, p.Number))
		}
	}
	return behind
}

func (a *adminFlags) view(e env) (*transport.ConfigView, error) {
	status, body, err := a.call(e, http.MethodGet, "/v1/config", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.New(refusalText(status, body))
	}
	view := &transport.ConfigView{}
	return view, eris.Wrap(json.Unmarshal(body, view), "parse answer")
}

func runDrop(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	if code, ok := parse(fs, args); !ok {
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
		return failf(e, "%s", refusalText(status, body))
	}
	fmt.Fprintf(e.out, "%s is being taken out; see weldctl dump\n", fs.Arg(0))
	return exitOK
}

func runGet(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	if code, ok := parse(fs, args); !ok {
		return code
	}
	view, err := a.view(e)
	if err != nil {
		return failf(e, "%v", err)
	}
	if a.json {
		return printJSON(e, view)
	}
	fmt.Fprintf(e.out, "configuration %d, digest %s, in force on %d of %d instances\n", view.Revision.Number, view.Revision.Digest.Short(), inForce(view.Instances), len(view.Instances))
	if view.Leader != "" {
		fmt.Fprintf(e.out, "leader: %s, when %s last asked\n", view.Leader, a.address)
	}
	printConfig(e, view.Revision.Config)
	printPlaces(e, view.Instances)
	return exitOK
}

func inForce(places []transport.InstanceConfig) int {
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
	_ = w.Flush() // Writes to the terminal.
	fmt.Fprintln(w, "MODEL\tVERSION\tSLOTS\tLEAST SLOTS")
	for _, m := range c.Models {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", m.Name, m.Version, m.Slots, m.MinSlots)
	}
	_ = w.Flush() // Writes to the terminal.
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
	_ = w.Flush() // Writes to the terminal.
}

func printPlaces(e env, places []transport.InstanceConfig) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tSTATE\tREADY\tNUMBER\tDIGEST\tNEWEST\tFOR")
	for _, p := range places {
		since := (time.Duration(p.ForMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\t%v\t%s\n", p.Name, p.Domain, p.State, p.Ready, p.Number, p.Digest, p.InForce, since)
	}
	_ = w.Flush() // Writes to the terminal.
}

func printJSON(e env, v any) int {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return failf(e, "%v", err)
	}
	fmt.Fprintf(e.out, "%s\n", data)
	return exitOK
}
