package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// logSources are the files that contain the log lines of the roles.
var logSources = []string{
	"role.go", "gateway.go", "control.go", "leave.go", "regions.go", "../../transport/caller/*.go", "../../transport/forward/*.go", "../../transport/uplink/*.go", "../../transport/control/*.go",
	"../../coordination/group/*.go", "../../platform/*.go", "../../transport/replica.go", "../../transport/groupclient.go", "../../transport/bootstrap.go", "../../transport/links.go", "../../transport/membership.go",
}

// TestLogsAreListed checks that docs/LOGS.md lists exactly the log messages above
// debug level that the roles write.
func TestLogsAreListed(t *testing.T) {
	line := regexp.MustCompile(`(?s)\.(Info|Warn|Error)\(\)[^;{}]*?\.Msg\("([^"]*)"\)`)
	want := map[string]bool{}
	for _, pattern := range logSources {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", pattern, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range line.FindAllStringSubmatch(string(data), -1) {
				want[m[2]] = true
			}
		}
	}
	data, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]*)` \\|").FindAllStringSubmatch(string(data), -1) {
		listed[m[1]] = true
	}
	for message := range want {
		if !listed[message] {
			t.Errorf("docs/LOGS.md does not list %q", message)
		}
	}
	for message := range listed {
		if !want[message] {
			t.Errorf("docs/LOGS.md lists %q, which is not in the sources", message)
		}
	}
	if len(want) < 30 {
		t.Errorf("found only %d log messages in the sources, want at least 30", len(want))
	}
}
