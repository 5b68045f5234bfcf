package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
)

// dumpView is the part of a state dump that the tables show; -json prints the whole dump.
type dumpView struct {
	At      time.Time           `json:"at"`
	Name    string              `json:"name"`
	Domain  string              `json:"domain"`
	Ready   bool                `json:"ready"`
	Unready string              `json:"unready"`
	Number  uint64              `json:"number"`
	Members []state.MemberRow   `json:"members"`
	Servers []dumpServer        `json:"servers"`
	Leaving []protocol.Leaving  `json:"leaving"`
	Streams []state.Stream      `json:"streams"`
	Pools   []transport.PoolRow `json:"pools"`
	Group   *group.Status       `json:"group"`
}

type dumpServer struct {
	protocol.Instance
	Report      protocol.LoadReport `json:"report"`
	ReportAgeMS int64               `json:"report_age_ms"`
	Missed      int                 `json:"missed"`
	Outstanding int32               `json:"outstanding"`
	Sent        int64               `json:"sent"`
	Failed      int64               `json:"failed"`
}

func runDump(e env, fs *flag.FlagSet, args []string) int {
	var a adminFlags
	a.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	status, body, err := a.call(e, http.MethodGet, "/dump", nil)
	if err != nil {
		return failf(e, "%v", err)
	}
	if status != http.StatusOK {
		return failf(e, "%s", errorText(status, body))
	}
	if a.json {
		var out bytes.Buffer
		if err := json.Indent(&out, body, "", "  "); err != nil {
			return failf(e, "%v", err)
		}
		fmt.Fprintln(e.out, out.String())
		return exitOK
	}
	var view dumpView
	if err := json.Unmarshal(body, &view); err != nil {
		return failf(e, "%v", err)
	}
	printDump(e, &view)
	return exitOK
}

func printDump(e env, v *dumpView) {
	ready := "ready"
	if !v.Ready {
		ready = "not ready: " + v.Unready
	}
	fmt.Fprintf(e.out, "%s in %s, %s, configuration %d\n", v.Name, v.Domain, ready, v.Number)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tKIND\tDOMAIN\tLEAVING\tOUR\tRUNNING\tWAITING\tAGE\tSENT\tFAILED")
	for _, s := range v.Servers {
		age := (time.Duration(s.ReportAgeMS) * time.Millisecond).String()
		if s.ReportAgeMS < 0 {
			age = "never"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%s\t%d\t%d\n",
			s.ID, s.Kind, s.Domain, s.Leaving, s.Outstanding, s.Report.Running, s.Report.Waiting, age, s.Sent, s.Failed)
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	w = tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tDOMAIN\tSTATE\tREADY\tCONFIGURATION\tFOR")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", m.Name, m.Domain, m.State, m.Ready, m.Revision, v.At.Sub(m.Since).Round(time.Millisecond))
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	printPools(e, v.Pools)
	printGroup(e, v.Group)
	fmt.Fprintf(e.out, "%d requests in progress, %d servers marked as leaving\n", len(v.Streams), len(v.Leaving))
	for _, s := range v.Streams {
		fmt.Fprintf(e.out, "  %s %s on %s, attempt %d, %d tokens, for %s\n", s.Request, s.Key, s.Server, s.Attempt, s.Tokens, v.At.Sub(s.Started).Round(time.Millisecond))
	}
}

// printPools prints how workspaces use the slots of the models through the instance.
func printPools(e env, pools []transport.PoolRow) {
	if len(pools) == 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MODEL\tSLOTS\tDIVIDED HERE\tWORKSPACE\tSHARE\tRUNNING\tQUEUED\tLOW RUNNING\tLOW QUEUED")
	for _, p := range pools {
		for _, d := range p.Demand {
			fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Slots, p.Leads, d.Workspace, d.Share,
				d.Running[protocol.ClassRegular], d.Queued[protocol.ClassRegular], d.Running[protocol.ClassLow], d.Queued[protocol.ClassLow])
		}
	}
	_ = w.Flush() // Errors on terminal output are ignored.
}

// printGroup prints the state of the instance's replica, if it has one.
func printGroup(e env, g *group.Status) {
	if g == nil {
		return
	}
	var voters, learners []string
	for _, id := range g.Members.Voters {
		voters = append(voters, id.Name)
	}
	for _, id := range g.Members.Learners {
		learners = append(learners, id.Name)
	}
	fmt.Fprintf(e.out, "replica: %s in term %d, leader %q, applied %d of %d, %d claims\n", g.Role, g.Term, g.Leader.Name, g.Applied, g.Last, g.Claims)
	fmt.Fprintf(e.out, "  voters %v, learners %v, disk broken %v, disk full %v\n", voters, learners, g.Broken, g.Full)
}
