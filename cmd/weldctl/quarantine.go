package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/weldstream/weldstream/transport/control"
)

// quarantineCommands holds the subcommands of "weldctl quarantine".
var quarantineCommands = map[string]func(e env, fs *flag.FlagSet, args []string) int{
	"list":    runQuarantineList,
	"release": runQuarantineRelease,
}

func runQuarantine(e env, fs *flag.FlagSet, args []string) int {
	if len(args) > 0 {
		if command, ok := quarantineCommands[args[0]]; ok {
			return command(e, fs, args[1:])
		}
	}
	fmt.Fprintln(e.err, `usage: weldctl quarantine list
       weldctl quarantine release FINGERPRINT`)
	return exitUsage
}

func runQuarantineList(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/quarantine"}
	f.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	var list control.QuarantineList
	if err := f.call(http.MethodGet, "", nil, &list); err != nil {
		return failf(e, "%v", err)
	}
	if f.json {
		return printJSON(e, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tKIND\tCRASHED SERVERS\tHELD SINCE\tTRIALS\tNEXT TRIAL")
	for _, q := range list.Held {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\n", q.Fingerprint, q.Kind, q.Servers, timeText(q.SinceMS), q.Trials, timeText(q.NextTrialMS))
	}
	_ = w.Flush() // Errors on terminal output are ignored.
	return exitOK
}

// timeText returns a time in ms since 1970 in UTC; "unknown" for 0.
func timeText(ms int64) string {
	if ms == 0 {
		return "unknown"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func runQuarantineRelease(e env, fs *flag.FlagSet, args []string) int {
	f := controlFlags{path: "/v1/quarantine"}
	f.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if fs.NArg() != 1 {
		fmt.Fprintln(e.err, "weldctl: quarantine release needs one fingerprint")
		return exitUsage
	}
	var before control.QuarantineList
	if err := f.call(http.MethodDelete, "/"+url.PathEscape(fs.Arg(0)), nil, &before); err != nil {
		return failf(e, "%v", err)
	}
	fmt.Fprintf(e.out, "released %s\n", fs.Arg(0))
	return exitOK
}
