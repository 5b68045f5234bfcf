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

// traceLine is one log line that names a request.
type traceLine struct {
	at     int64
	text   string
	fields map[string]any
}

// logLineBytes bounds one log line.
const logLineBytes = 4 << 20

// runTrace prints what the logs of several processes say of one request, in the
// order of their times.
func runTrace(e env, fs *flag.FlagSet, args []string) int {
	around := fs.Bool("around", false, "also the lines of the same processes, from a second before to the end, that are of no request")
	if code, ok := parse(fs, args); !ok {
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
		got, err := readTrace(f)
		_ = f.Close() // It was only read.
		if err != nil {
			return failf(e, "%s: %v", file, err)
		}
		lines = append(lines, got...)
	}
	story := tell(lines, id, *around)
	if len(story) == 0 {
		return failf(e, "no line names request %q", id)
	}
	for _, l := range story {
		fmt.Fprintln(e.out, l.text)
	}
	return exitOK
}

// readTrace reads log lines; what stands before the JSON of a line, such as a
// collector's stamp, is passed over, and so is a line without any.
func readTrace(r io.Reader) ([]traceLine, error) {
	var lines []traceLine
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, logLineBytes)
	for scan.Scan() {
		at := bytes.IndexByte(scan.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scan.Bytes()[at:], &fields) != nil {
			continue
		}
		ms, _ := fields["time"].(float64)
		lines = append(lines, traceLine{at: int64(ms), fields: fields})
	}
	return lines, scan.Err()
}

// tell picks the lines of a request, and of the processes that it met.
func tell(lines []traceLine, id string, around bool) []traceLine {
	var story []traceLine
	met := map[any]bool{}
	first, last := int64(0), int64(0)
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		story = append(story, l)
		met[l.fields["instance"]] = true
		if first == 0 || l.at < first {
			first = l.at
		}
		last = max(last, l.at)
	}
	const before = 1000 // ms
	for _, l := range lines {
		if around && l.fields["request"] == nil && l.at >= first-before && l.at <= last && (met[l.fields["instance"]] || l.fields["role"] == "control") {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b traceLine) int { return cmp.Compare(a.at, b.at) })
	for i := range story {
		story[i].text = render(story[i], first)
	}
	return story
}

// render writes a line for a person: time since the request's first, instance,
// message, and the other fields by name.
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
	fmt.Fprintf(&out, "%+6d ms  %-16v %v", l.at-first, l.fields["instance"], l.fields["message"])
	for _, name := range names {
		fmt.Fprintf(&out, "  %s=%v", name, l.fields[name])
	}
	return out.String()
}
