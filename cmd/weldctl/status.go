package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/transport/control"
)

// statusTimeout bounds the request to one control instance. It is short because an operator
// waits for the output, and an unreachable instance does not answer at all.
const statusTimeout = 2 * time.Second

// roundTripPrecision is the unit to which round trips are rounded: within a region they take
// about a millisecond.
const roundTripPrecision = 100 * time.Microsecond

// percent converts a fraction into percent.
const percent = 100

// controlView is the part of a control instance's state dump that the tables show.
type controlView struct {
	group.Status
	Domain string              `json:"domain"`
	Region string              `json:"region"`
	Relay  *control.RelayState `json:"relay"`
}

// runStatus prints the leader, the entries that each control instance has applied, the
// number of gateways it relays for, and the round trips between the instances.
func runStatus(e env, fs *flag.FlagSet, args []string) int {
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "usage: weldctl status ADDRESS...\nADDRESS is the metrics address of a control instance, IP:port")
	}
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if fs.NArg() == 0 {
		fs.Usage()
		return exitUsage
	}
	code := exitOK
	var views []controlView
	for _, address := range fs.Args() {
		view, err := readStatus(address)
		if err != nil {
			code = failf(e, "%s: %v", address, err)
			continue
		}
		views = append(views, view)
	}
	printControls(e, views)
	printRoundTrips(e, views)
	return code
}

// readStatus reads the state dump of the control instance with this metrics address.
func readStatus(address string) (controlView, error) {
	var view controlView
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/dump")
	status, body, err := callInstance(address, req, statusTimeout)
	if err != nil {
		return view, eris.Wrap(err, "read the dump")
	}
	if status != fasthttp.StatusOK {
		return view, eris.Errorf("answered %d", status)
	}
	return view, eris.Wrap(json.Unmarshal(body, &view), "read the dump")
}

// printControls prints a row for each control instance.
func printControls(e env, views []controlView) {
	if len(views) == 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREGION\tROLE\tTERM\tLEADER\tAPPLIED\tCONFIGURATION\tLEASE\tRELAYS FOR")
	for i := range views {
		v := &views[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d of %d\t%d\t%dms\t%s\n",
			v.ID.Name, v.Domain, v.Region, v.Role, v.Term, v.Leader.Name, v.Applied, v.Last, v.Document, v.LeaseLeftMS, relayText(v.Relay))
	}
	_ = w.Flush() // Errors on terminal output are ignored.
}

// relayText renders the number of gateways for which an instance relays requests.
func relayText(r *control.RelayState) string {
	switch {
	case r == nil:
		return "-"
	case r.Overdue:
		return fmt.Sprintf("%d gateways, cut off from the leader", r.Gateways)
	}
	return fmt.Sprintf("%d gateways", r.Gateways)
}

// printRoundTrips prints the round trips reported by the leader. If the leader is not among
// the instances or reports none, it prints those of the first instance that reports any.
func printRoundTrips(e env, views []controlView) {
	hasRoundTrips := func(v controlView) bool { return len(v.RoundTrips) > 0 }
	isLeader := func(v controlView) bool { return hasRoundTrips(v) && v.Leader.Name == v.ID.Name }
	from := slices.IndexFunc(views, isLeader)
	if from < 0 {
		from = slices.IndexFunc(views, hasRoundTrips)
	}
	if from < 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tTO\tROUND TRIP\tLATE\tLOST")
	for _, trip := range views[from].RoundTrips {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f%%\n", trip.From, trip.To, trip.Smoothed.Round(roundTripPrecision), trip.UpperBound().Round(roundTripPrecision), trip.Loss*percent)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
}
