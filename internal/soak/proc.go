package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Proc is one daemon, which may be started several times in a run.
type Proc struct {
	Name string
	Role string
	Data string

	bin          string
	nextBin      string // nextBin is the program for all starts after the first; empty for the same program.
	settingsFile string
	out          *os.File
	ending       sync.Mutex // ending is held by a start, and until a process that was asked to end has ended. It is acquired before mu.
	mu           sync.Mutex // mu guards the fields below.
	cmd          *exec.Cmd
	ended        chan error
	stopping     bool // stopping says that the process was asked to end.
}

// Start starts the process unless it runs.
func (p *Proc) Start() error {
	p.ending.Lock()
	defer p.ending.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.bin, p.Role, "-settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	if err := cmd.Start(); err != nil {
		return err
	}
	if p.nextBin != "" {
		p.bin = p.nextBin
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	p.cmd, p.ended, p.stopping = cmd, ended, false
	return nil
}

// ResidentKB returns the resident memory of the process, or 0 if it does not run.
func (p *Proc) ResidentKB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:") // Without VmRSS rest is empty and kb stays 0.
	var kb int
	_, _ = fmt.Sscan(rest, &kb) // kb stays 0 if the kernel reports no value.
	return kb
}

// Signal sends a signal to the process if it runs.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// stopTimeout bounds the time between a termination signal and the end of the process.
const stopTimeout = 15 * time.Second

// Kill ends the process with SIGKILL.
func (p *Proc) Kill() { _ = p.end(syscall.SIGKILL) }

// Stop shuts the process down with SIGTERM and returns its exit error.
func (p *Proc) Stop() error { return p.end(syscall.SIGTERM) }

// end sends a signal and waits for the end of the process. Other signals can be sent
// meanwhile: a suspended process handles a termination signal only once it is resumed.
func (p *Proc) end(s syscall.Signal) error {
	p.ending.Lock()
	defer p.ending.Unlock()
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.stopping = true
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(s) // It fails if the process has ended already.
	err := p.awaitEnd(cmd, ended, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	return err
}

// awaitEnd waits for the end of the process after a signal, and kills it after stopTimeout.
func (p *Proc) awaitEnd(cmd *exec.Cmd, ended <-chan error, s syscall.Signal) error {
	select {
	case err := <-ended:
		return err
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // It fails if the process has just ended.
		err := <-ended
		return fmt.Errorf("%s did not end within %v of signal %v, and then with %w", p.Name, stopTimeout, s, err)
	}
}

// Exited reports whether the process ended without a request to do so, and its exit error.
func (p *Proc) Exited() (error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopping {
		return nil, false
	}
	select {
	case err := <-p.ended:
		p.ended <- err
		return err, true
	default:
		return nil, false
	}
}

// Wipe removes the data directory of a control instance that does not run.
func (p *Proc) Wipe() error { return os.RemoveAll(p.Data) }

// Damage flips a bit in the log of a control instance that does not run, if it has a log.
func (p *Proc) Damage() error {
	logs, err := filepath.Glob(filepath.Join(p.Data, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	file := logs[len(logs)-1]
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	data[len(data)/3] ^= 4
	return os.WriteFile(file, data, 0o600)
}
