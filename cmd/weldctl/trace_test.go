package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const gatewayLog = `  7.01 edge-1 {"level":"info","instance":"edge-1","role":"gateway","request":"aa","server":"s-1","time":1000,"message":"attempt"}
not a line of ours
{"level":"info","instance":"edge-1","role":"gateway","request":"bb","server":"s-9","time":1001,"message":"attempt"}
{"level":"info","instance":"edge-1","role":"gateway","request":"aa","server":"s-1","reason":"the answer did not come","time":1050,"message":"attempt failed"}
{"level":"info","instance":"edge-1","role":"gateway","request":"aa","outcome":"refused","status":502,"time":1051,"message":"request"}
`

const controlLog = `{"level":"info","instance":"core-1","role":"control","term":4,"time":900,"message":"elected leader"}
{"level":"info","instance":"core-1","role":"control","term":5,"time":5000,"message":"elected leader"}
`

// TestTrace checks the timeline of a request from the logs of two processes, with and
// without the lines around it.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"a.log": gatewayLog, "b.log": controlLog} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	var out, errs bytes.Buffer
	e := env{out: &out, err: &errs}
	for _, args := range [][]string{{"aa"}, {"-around", "aa"}} {
		if code := runTrace(e, flag.NewFlagSet("trace", flag.ContinueOnError), append(args, files...)); code != exitOK {
			t.Errorf("%v: exit code %d: %s", args, code, errs.String())
		}
		out.WriteByte('\n')
	}
	goldie.New(t).Assert(t, "trace", out.Bytes())
	if code := runTrace(e, flag.NewFlagSet("trace", flag.ContinueOnError), append([]string{"cc"}, files...)); code != exitFailed {
		t.Errorf("unknown request: exit code %d", code)
	}
	fs := flag.NewFlagSet("trace", flag.ContinueOnError)
	if code := runTrace(e, fs, []string{"aa"}); code != exitUsage {
		t.Errorf("no file: exit code %d", code)
	}
}
