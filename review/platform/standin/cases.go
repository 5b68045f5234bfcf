//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	host = "docket.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

// longest is the time after which a case ends in any event.
const longest = 112 * time.Second

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by name. A case returns whether the rule held.
var cases = map[string]func(c *cluster) (held bool, err error){
	"truncated": truncated,
	"founding":  founding,
	"listed":    listed,
	"firstack":  firstAck,
}

func runCase(name string, args []string) int {
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	dir := flags.String("dir", ".", "the folder of the case")
	_ = flags.Parse(args)
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.log("case %s, trouble %v", name, trouble())
	c, err := newCluster(rec)
	if err != nil {
		rec.log("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	time.AfterFunc(longest, func() {
		rec.log("not run: the time is over")
		c.close()
		os.Exit(exitNotRun)
	})
	held, err := run(c)
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case !held:
		rec.log("THE RULE IS BROKEN")
		fmt.Println(name, "the rule is broken")
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println(name, "the rule held")
	return exitHeld
}

// document is a configuration in the form of the users' pages.
func document(version int, extra ...map[string]any) map[string]any {
	route := func(name, prefix, kind string, timeout, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": 600, "priority": 1,
			"service": "docket-llm", "maxAttempts": attempts, "authExempt": false, "sessionAffinity": false, "streamResume": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []any{
		route("brief", "/stream/", "streaming", 15000, 2, map[string]any{"sessionAffinity": true, "targetGapMs": 500}),
		route("fetch", "/once/", "non_idempotent", 15000, 2, nil),
		route("status", "/again/", "idempotent", 15000, 2, nil),
	}
	doc := map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "docket-llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 284078, "burst": 284078}},
	}
	for _, e := range extra {
		for k, v := range e {
			doc[k] = v
		}
	}
	return doc
}
