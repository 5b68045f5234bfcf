package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// traceLine is one parsed log line.
type traceLine struct {
	timeMS int64
	text   string
	fields map[string]any
}

// logLineBytes is the maximum length of a log line.
const logLineBytes = 4 << 20

// runTrace prints the log lines of one request from the logs of several processes in
// chronological order.
func runTrace(e env, fs *flag.FlagSet, args []string) int {
	around := fs.Bool("around", false, "also print lines of the same processes that belong to no request, from one second before the request to its end")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if fs.NArg() < 2 {
		fmt.Fprintln(e.err, "usage: weldctl trace [-around] REQUEST FILE...")
		return exitUsage
	}
	id := fs.Arg(0)
	var lines []traceLine
	for _, file := range fs.Args()[1:] {
		f, err := os.Open(file)
		if err != nil {
			return failf(e, "%v", err)
		}
		fileLines, err := readTrace(f)
		_ = f.Close() // The file was only read.
		if err != nil {
			return failf(e, "%s: %v", file, err)
		}
		lines = append(lines, fileLines...)
	}
	timeline := requestTimeline(lines, id, *around)
	if len(timeline) == 0 {
		return failf(e, "no log line of request %q found", id)
	}
	for _, l := range timeline {
		fmt.Fprintln(e.out, l.text)
	}
	return exitOK
}

// readTrace parses log lines. Text before the JSON of a line, such as the timestamp of a
// log collector, is ignored, and so are lines without JSON.
func readTrace(r io.Reader) ([]traceLine, error) {
	var lines []traceLine
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, logLineBytes)
	for scan.Scan() {
		start := bytes.IndexByte(scan.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scan.Bytes()[start:], &fields) != nil {
			continue
		}
		ms, _ := fields["time"].(float64)
		lines = append(lines, traceLine{timeMS: int64(ms), fields: fields})
	}
	return lines, scan.Err()
}

// requestTimeline returns the lines of a request in chronological order. With around, it
// includes lines without a request of control instances and of the processes that handled
// the request.
func requestTimeline(lines []traceLine, id string, around bool) []traceLine {
	var timeline []traceLine
	instances := map[any]bool{}
	first, last := int64(0), int64(0)
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		timeline = append(timeline, l)
		instances[l.fields["instance"]] = true
		if first == 0 || l.timeMS < first {
			first = l.timeMS
		}
		last = max(last, l.timeMS)
	}
	const marginMS = 1000
	for _, l := range lines {
		if around && l.fields["request"] == nil && l.timeMS >= first-marginMS && l.timeMS <= last && (instances[l.fields["instance"]] || l.fields["role"] == "control") {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b traceLine) int { return cmp.Compare(a.timeMS, b.timeMS) })
	for i := range timeline {
		timeline[i].text = render(timeline[i], first)
	}
	return timeline
}

// render formats a line: time since the first line of the request, instance, message, and
// the other fields sorted by name.
func render(l traceLine, first int64) string {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "instance", "message", "request", "role":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out strings.Builder
	fmt.Fprintf(&out, "%+6d ms  %-16v %v", l.timeMS-first, l.fields["instance"], l.fields["message"])
	for _, name := range names {
		fmt.Fprintf(&out, "  %s=%v", name, l.fields[name])
	}
	return out.String()
}
