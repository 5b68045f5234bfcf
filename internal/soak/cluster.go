// Package soak runs the real daemons as separate processes on this machine,
// before stand-ins of the platform's side, harms them from outside and holds
// the promises against what callers, backend servers, the operator and the
// platform see.
//
// A [Cluster] starts processes and gives each control instance a loopback proxy
// before it. A [Plan] is drawn from a seed; the same seed draws the same plan. It
// stays within a few dozen processes, bounds its time, and ends only processes
// that it started, by their ids.
package soak

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/platform"
	"github.com/weldstream/weldstream/platform/standin"
	"github.com/weldstream/weldstream/transport/control"
)

// Size is how large a cluster is.
type Size struct {
	Controls int
	Gateways int
	Backends int
	Regions  int           // Regions is in how many regions the processes lie; under 2 means none.
	Delay    time.Duration // Delay is between two regions, one way.
	MemoryMB int           // MemoryMB is what a gateway may take; 0 for the usual.
}

// usualMemory is a third of what a gateway has on a platform with small machines.
const usualMemory = 64

// Cluster is the daemons with all that stands around them.
type Cluster struct {
	Size     Size
	API      *standin.API
	Record   *standin.Record
	Backends []*standin.Backend
	Paths    *Paths // Paths are the ways between regions; nil without regions.

	dir     string
	bin     string
	ports   ports
	proxies []*Proxy // proxies are before the controls, two each.
	servers []*Proxy // servers are before the backends.
	procs   []*Proc

	late         sync.Mutex // late guards the servers that came after the start, and their proxies.
	lateServers  []*Proxy
	lateBackends []*standin.Backend
}

// ports are alike on all instances, which differ by their IP numbers.
type ports struct{ operator, peer, caller, ready, metrics int }

// Proc is one daemon, with its life after life.
type Proc struct {
	Name string
	Role string
	Data string

	bin      string
	later    string // later is the program of the next lives; empty for the same.
	settings string
	out      *os.File
	mu       sync.Mutex // mu guards cmd.
	cmd      *exec.Cmd
	ended    chan error
}

// New makes a cluster in a folder; nothing of the daemons runs before Start.
func New(dir, bin string, size Size) (*Cluster, error) {
	if _, err := loopback(); err != nil {
		return nil, err
	}
	c := &Cluster{Size: size, Record: standin.NewRecord(), dir: dir, bin: bin}
	free, err := distinctPorts(5, freePort)
	if err != nil {
		return nil, err
	}
	c.ports = ports{operator: free[0], peer: free[1], caller: free[2], ready: free[3], metrics: free[4]}
	api, err := standin.NewAPI()
	if err != nil {
		return nil, err
	}
	c.API = api
	c.makePaths()
	return c, errors.Join(c.makeBackends(), c.makeProxies(), c.makeProcs())
}

// distinctPorts draws some ports that differ: one that was closed again may be drawn
// once more, and a daemon cannot listen on it twice.
func distinctPorts(count int, draw func() (int, error)) ([]int, error) {
	var list []int
	for len(list) < count {
		port, err := draw()
		if err != nil {
			return nil, err
		}
		if !slices.Contains(list, port) {
			list = append(list, port)
		}
	}
	return list, nil
}

// freePort returns a port that was free a moment ago.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", behind(0)+":0")
	if err != nil {
		return 0, err
	}
	port := ln.Addr().(*net.TCPAddr).Port
	return port, ln.Close()
}

func (c *Cluster) makeBackends() error {
	for i := range c.Size.Backends {
		b, err := standin.NewBackend(fmt.Sprintf("backend-%d", i), standin.Service, fmt.Sprintf("zone-%d", i%zones), c.Record)
		if err != nil {
			return err
		}
		b.UnreadTimeout = cutUnread
		if i%3 == 0 {
			b.ReadPause = slowServer
		}
		p, err := NewProxy("127.0.0.1:0", b.Address)
		if err != nil {
			return err
		}
		b.Address = p.Address() // What the list tells.
		b.Version = firstVersion
		c.servers = append(c.servers, p)
		c.Backends = append(c.Backends, b)
		c.API.Add(b)
	}
	return nil
}

// told is the IP number that others know a control instance by: its proxy's.
func told(i int) string { return fmt.Sprintf("%s.1.%d", prefix(), 101+i) }

// behind is where it listens.
func behind(i int) string { return fmt.Sprintf("%s.1.%d", prefix(), 1+i) }

func gatewayIP(i int) string { return fmt.Sprintf("%s.2.%d", prefix(), 1+i) }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *Cluster) makeProxies() error {
	for i := range c.Size.Controls {
		for _, port := range []int{c.ports.operator, c.ports.peer} {
			var opts []ProxyOption
			if port == c.ports.peer && c.Paths != nil {
				opts = append(opts, WithPaths(c.Paths, c.Size.regionOf(i)))
			}
			p, err := NewProxy(at(told(i), port), at(behind(i), port), opts...)
			if err != nil {
				return err
			}
			c.proxies = append(c.proxies, p)
		}
	}
	return nil
}

func (c *Cluster) makeProcs() error {
	for i := range c.Size.Controls {
		if err := c.add("control", i); err != nil {
			return err
		}
	}
	for i := range c.Size.Gateways {
		if err := c.add("gateway", i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) add(role string, i int) error {
	name := fmt.Sprintf("%s-%d", role, i)
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	p := &Proc{Name: name, Role: role, bin: c.bin, settings: filepath.Join(c.dir, name+".yaml"), out: out}
	if role == "control" {
		p.Data = filepath.Join(c.dir, name)
	}
	c.procs = append(c.procs, p)
	return c.writeSettings(p, i, true)
}

// slowServer is the pause after each 8 KB of a body of the servers that read slowly, a
// third of all: 64 KB take 40 ms.
const slowServer = 5 * time.Millisecond

// cutUnread is how long servers let a piece of an answer lie unread before they cut it.
const cutUnread = 2 * time.Second

// writeSettings lays a process's settings. Only the first start of all may found.
func (c *Cluster) writeSettings(p *Proc, i int, found bool) error {
	var seeds []string
	for k := range min(3, c.Size.Controls) {
		seeds = append(seeds, at(told(k), c.ports.operator))
	}
	text := fmt.Sprintf("name: %s\ndomain: zone-%d\nseeds: [%s]\nfound: %v\ntolerate: %d\n", p.Name, i%3, strings.Join(seeds, ", "), found, (c.Size.Controls-1)/2)
	text += c.Size.regionSettings(i)
	text += fmt.Sprintf("source: {address: %s, duties: [%s], list_rate: 20}\n", c.API.Address, platform.DutyUsage)
	text += "bounds: {grace: 6s, lease: 500ms, usage_window: 1s, usage_due: 2s, order_repeat: 5s, retry_ratio: 0.5, retry_extra: 50}\n"
	if p.Role == "control" {
		text += fmt.Sprintf("operator: %s\npeer: %s\nbind: %s\nmetrics: %s\ndata_dir: %s\n",
			at(told(i), c.ports.operator), at(told(i), c.ports.peer), behind(i), at(behind(i), c.ports.metrics), p.Data)
	} else {
		ip := gatewayIP(i)
		text += fmt.Sprintf("memory_mb: %d\ndescriptors: 2000\n", cmp.Or(c.Size.MemoryMB, usualMemory))
		text += fmt.Sprintf("caller: %s\nready: %s\npeer: %s\nmetrics: %s\n", at(ip, c.ports.caller), at(ip, c.ports.ready), at(ip, c.ports.peer), at(ip, c.ports.metrics))
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// Start starts all processes; later starts found nothing.
func (c *Cluster) Start() error {
	for _, p := range c.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Founded has no later start found a group.
func (c *Cluster) Founded() error {
	for k, p := range c.procs {
		i := k
		if p.Role == "gateway" {
			i -= c.Size.Controls
		}
		if err := c.writeSettings(p, i, false); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all that was started.
func (c *Cluster) Close() {
	for _, p := range c.procs {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
		_ = p.out.Close()
	}
	for _, p := range append(c.proxies, c.servers...) {
		p.Close()
	}
	for _, b := range c.Backends {
		b.Close()
	}
	c.late.Lock()
	defer c.late.Unlock()
	for i, b := range c.lateBackends {
		c.lateServers[i].Close()
		b.Close()
	}
	c.API.Close()
}

// Callers returns the addresses for callers.
func (c *Cluster) Callers() []string {
	var list []string
	for i := range c.Size.Gateways {
		list = append(list, at(gatewayIP(i), c.ports.caller))
	}
	return list
}

// Operators returns the addresses for the operator.
func (c *Cluster) Operators() []string {
	var list []string
	for i := range c.Size.Controls {
		list = append(list, at(told(i), c.ports.operator))
	}
	return list
}

// Status returns what a control instance dumps of its replica.
func (c *Cluster) Status(i int) (group.Status, error) {
	var s group.Status
	err := c.dumped(i, &s)
	return s, err
}

// Relay returns what a control instance dumps of itself as a relay.
func (c *Cluster) Relay(i int) (control.RelayState, error) {
	var d struct{ Relay control.RelayState }
	err := c.dumped(i, &d)
	return d.Relay, err
}

// dumped reads a control instance's dump.
func (c *Cluster) dumped(i int, v any) error { return c.dumpedAt(at(behind(i), c.ports.metrics), v) }

// dumpedAt reads the dump of the process with an address for metrics.
func (c *Cluster) dumpedAt(address string, v any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/dump", time.Second)
	if err != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("%s dumps nothing: status %d, %w", address, status, err)
	}
	return json.Unmarshal(body, v)
}

// Proc returns a process by its name.
func (c *Cluster) Proc(name string) *Proc {
	for _, p := range c.procs {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Start starts the process, if it does not run.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.bin, p.Role, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	if err := cmd.Start(); err != nil {
		return err
	}
	if p.later != "" {
		p.bin = p.later
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	p.cmd, p.ended = cmd, ended
	return nil
}

// ResidentKB returns what the process has in memory, 0 if it does not run.
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
	_, rest, _ := strings.Cut(string(data), "VmRSS:") // Without it nothing is scanned below.
	var kb int
	_, _ = fmt.Sscan(rest, &kb) // 0 where the kernel tells none.
	return kb
}

// Signal sends a signal to the process, if it runs.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// stopTime is how long a process may take to end when it is told to.
const stopTime = 15 * time.Second

// Kill ends the process at once.
func (p *Proc) Kill() { _ = p.end(syscall.SIGKILL) }

// Stop has the process end as planned, and returns how it ended.
func (p *Proc) Stop() error { return p.end(syscall.SIGTERM) }

func (p *Proc) end(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(s)
	defer func() { p.cmd = nil }()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopTime):
		_ = p.cmd.Process.Kill()
		err := <-p.ended
		return fmt.Errorf("%s did not end within %v of signal %v, and then with %w", p.Name, stopTime, s, err)
	}
}

// Died reports how the process ended by itself, if it did.
func (p *Proc) Died() (error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
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

// Wipe removes the data of a control instance that does not run.
func (p *Proc) Wipe() error { return os.RemoveAll(p.Data) }

// Damage flips a bit in the middle of the log of a control instance that does not
// run, if it has one.
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
