// Package e2e runs end-to-end tests and benchmarks against real processes:
// daemons, stand-ins for the platform and the backend servers, and the
// command-line tool. The kernel chooses the ports, and tests wait for
// conditions instead of sleeping.
package e2e

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait for a condition. It does not assert a duration:
// a wait ends as soon as its condition holds.
const waitTimeout = 40 * time.Second

var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "weldstream-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	flag.Parse()
	args := []string{"build", "-o", dir}
	if flag.Lookup("test.bench").Value.String() == "" {
		args = append(args, "-race") // Tests detect data races; benchmarks run without that overhead.
	}
	build := exec.Command("go", append(args, "../cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// logBuffer collects the lines that a process writes to an output stream.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) copyFrom(r io.Reader) {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 1<<16), 1<<22)
	for scan.Scan() {
		b.mu.Lock()
		b.buf.WriteString(scan.Text() + "\n")
		b.mu.Unlock()
	}
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// process is a child process started by a test.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	out    logBuffer
	err    logBuffer
	exited chan struct{}
	code   int
}

func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), exited: make(chan struct{})}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { p.out.copyFrom(stdout) })
	pipes.Go(func() { p.err.copyFrom(stderr) })
	go func() {
		pipes.Wait()
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if strings.Contains(p.err.String(), "DATA RACE") {
			t.Errorf("data race in %s:\n%s", name, raceReports(p.err.String()))
		}
		if t.Failed() {
			t.Logf("%s wrote:\n%s%s", name, p.out.String(), p.err.String())
		}
	})
	return p
}

// raceReports extracts the race detector's reports from a process's output.
// Among the other lines, they would be lost when the test output is truncated.
func raceReports(text string) string {
	const bar = "==================\n"
	var reports strings.Builder
	for _, part := range strings.Split(text, bar) {
		if strings.Contains(part, "DATA RACE") {
			reports.WriteString(part)
		}
	}
	return reports.String()
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// wait waits until the process exits by itself and returns its exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit in time; its stderr:\n%s", p.name, p.err.String())
	}
	return p.code
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// eventually polls cond until it holds, and fails the test after waitTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for condition: %s", what)
		}
		<-tick.C
	}
}

// field returns the value of the first name=value pair in a line, up to the next space.
func field(line, name string) string {
	_, rest, ok := strings.Cut(line, name+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.TrimSpace(value)
}
