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

// statusTime is how long one control instance may take to tell its state: an operator
// looks on, and one that is cut off answers nothing.
const statusTime = 2 * time.Second

// tripRound is what round trips are rounded to: those of a region take a millisecond.
const tripRound = 100 * time.Microsecond

// percent turns a part into percent.
const percent = 100

// controlView is the part of a control instance's dump that the tables show.
type controlView struct {
	group.Status
	Domain string              `json:"domain"`
	Region string              `json:"region"`
	Relay  *control.RelayState `json:"relay"`
}

// runStatus shows who leads, what each control instance has applied, for how many
// gateways it answers, and the round trips between them.
func runStatus(e env, fs *flag.FlagSet, args []string) int {
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "usage: weldctl status ADDRESS...\nthe metrics addresses of control instances, IP:port")
	}
	if code, ok := parse(fs, args); !ok {
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
	printTrips(e, views)
	return code
}

// readStatus reads the dump of the control instance with a metrics address.
func readStatus(address string) (controlView, error) {
	var view controlView
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/dump", statusTime)
	if err != nil {
		return view, eris.Wrap(err, "read the dump")
	}
	if status != fasthttp.StatusOK {
		return view, eris.Errorf("answered %d", status)
	}
	return view, eris.Wrap(json.Unmarshal(body, &view), "read the dump")
}

// printControls shows a row for each control instance.
func printControls(e env, views []controlView) {
	if len(views) == 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREGION\tROLE\tTERM\tLEADER\tAPPLIED\tCONFIGURATION\tLEASE\tRELAYS FOR")
	for i := range views {
		v := &views[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d of %d\t%d\t%dms\t%s\n",
			v.ID.Name, v.Domain, v.Region, v.Role, v.Term, v.Leader.Name, v.Applied, v.Last, v.Document, v.LeaseLeftMS, relaysFor(v.Relay))
	}
	_ = w.Flush() // Writes to the terminal.
}

// relaysFor tells for how many gateways an instance passes questions on.
func relaysFor(r *control.RelayState) string {
	switch {
	case r == nil:
		return "-"
	case r.Overdue:
		return fmt.Sprintf("%d gateways, cut off from the leader", r.Gateways)
	}
	return fmt.Sprintf("%d gateways", r.Gateways)
}

// printTrips shows the round trips as the leader knows them; where it is not among the
// instances or does not tell, as the first one that knows any.
func printTrips(e env, views []controlView) {
	knows := func(v controlView) bool { return len(v.RoundTrips) > 0 }
	leads := func(v controlView) bool { return knows(v) && v.Leader.Name == v.ID.Name }
	from := slices.IndexFunc(views, leads)
	if from < 0 {
		from = slices.IndexFunc(views, knows)
	}
	if from < 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tTO\tROUND TRIP\tLATE\tLOST")
	for _, trip := range views[from].RoundTrips {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f%%\n", trip.From, trip.To, trip.Smoothed.Round(tripRound), trip.Late().Round(tripRound), trip.Loss*percent)
	}
	_ = w.Flush() // Writes to the terminal.
}
