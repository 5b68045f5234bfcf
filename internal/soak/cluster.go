// Package soak runs the real daemons as separate processes on this machine against
// stand-ins of the platform, injects faults from outside and checks the system's
// guarantees against what callers, backend servers, the operator and the platform observe.
//
// A [Cluster] starts the processes and puts a loopback proxy in front of each control
// instance. A [Plan] is generated from a seed; the same seed gives the same plan. A run
// uses a few dozen processes at most, is bounded in time, and ends only processes that it
// started, by their ids.
package soak

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
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

// Size is the size of a cluster.
type Size struct {
	Controls int
	Gateways int
	Backends int
	Regions  int           // Regions is the number of regions that the processes are spread over; less than 2 means no regions.
	Delay    time.Duration // Delay is the one-way delay between two regions.
	MemoryMB int           // MemoryMB is the memory limit of a gateway; 0 means defaultMemoryMB.
	// Sources gives the connections of each gateway to backend servers an address of their own, by
	// which the gateway can be cut off from them. Earlier builds do not know that setting.
	Sources bool
	// RetryRatio is the fraction of a service's requests that may be retried; 0 means
	// defaultRetryRatio.
	RetryRatio float64
}

// retryRatio returns the fraction of a service's requests that may be retried.
func (s Size) retryRatio() float64 { return cmp.Or(s.RetryRatio, defaultRetryRatio) }

// defaultMemoryMB is a third of what a gateway has on a platform with small machines.
const defaultMemoryMB = 64

// Cluster is a set of daemons with the proxies and stand-ins around them.
type Cluster struct {
	Size     Size
	API      *standin.API
	Record   *standin.Record
	Backends []*standin.Backend
	Paths    *RegionPaths // Paths are the paths between regions; nil without regions.

	dir            string
	bin            string
	ports          ports
	controlProxies []*Proxy // controlProxies are in front of the control instances, two for each.
	backendProxies []*Proxy // backendProxies are in front of the backend servers.
	procs          []*Proc

	addedMu       sync.Mutex // addedMu guards the backend servers that were added after the start, and their proxies.
	addedProxies  []*Proxy
	addedBackends []*standin.Backend
	cutOff        map[string]bool // cutOff are the source addresses of gateways that are cut off from servers.
}

// ports are the same on all instances, which differ by their IP addresses.
type ports struct{ operator, peer, caller, ready, metrics int }

// New prepares a cluster in a directory. No daemon runs before Start.
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
	c.makeRegionPaths()
	return c, errors.Join(c.makeBackends(), c.makeProxies(), c.makeProcs())
}

// distinctPorts draws ports until it has count different ones. A port that was closed
// again may be drawn twice, and a daemon cannot listen on it twice.
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

// freePort returns a port that was free when it was checked.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", listenIP(0)+":0")
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
		b.UnreadTimeout = unreadTimeout
		if i%3 == 0 {
			b.ReadPause = slowReadPause
		}
		p, err := NewProxy("127.0.0.1:0", b.Address)
		if err != nil {
			return err
		}
		b.Address = p.Address() // The address that the platform lists.
		b.Version = firstVersion
		c.backendProxies = append(c.backendProxies, p)
		c.Backends = append(c.Backends, b)
		c.API.Add(b)
	}
	return nil
}

// advertisedIP is the IP address under which others reach a control instance: that of its
// proxy.
func advertisedIP(i int) string { return fmt.Sprintf("%s.1.%d", loopbackPrefix(), 101+i) }

// listenIP is the IP address on which a control instance listens.
func listenIP(i int) string { return fmt.Sprintf("%s.1.%d", loopbackPrefix(), 1+i) }

func gatewayIP(i int) string { return fmt.Sprintf("%s.2.%d", loopbackPrefix(), 1+i) }

// gatewaySourceIP is the IP address that a gateway's connections to backend servers come from. It
// listens on another one, since a port of a closed connection cannot be listened on for a while.
func gatewaySourceIP(i int) string { return fmt.Sprintf("%s.3.%d", loopbackPrefix(), 1+i) }

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *Cluster) makeProxies() error {
	for i := range c.Size.Controls {
		for _, port := range []int{c.ports.operator, c.ports.peer} {
			var opts []ProxyOption
			if port == c.ports.peer && c.Paths != nil {
				opts = append(opts, WithPaths(c.Paths, c.Size.regionOf(i)))
			}
			p, err := NewProxy(hostPort(advertisedIP(i), port), hostPort(listenIP(i), port), opts...)
			if err != nil {
				return err
			}
			c.controlProxies = append(c.controlProxies, p)
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
	p := &Proc{Name: name, Role: role, bin: c.bin, settingsFile: filepath.Join(c.dir, name+".yaml"), out: out}
	if role == "control" {
		p.Data = filepath.Join(c.dir, name)
	}
	c.procs = append(c.procs, p)
	return c.writeSettings(p, i, true)
}

// slowReadPause is the pause after each 8 KB of a body on backend servers that read
// slowly, which are a third of all: 64 KB take 40 ms.
const slowReadPause = 5 * time.Millisecond

// unreadTimeout is how long backend servers wait for a part of a reply to be read before
// they cut the connection.
const unreadTimeout = 2 * time.Second

// writeSettings writes a process's settings file. Only the first start of the cluster may
// bootstrap the Raft group.
func (c *Cluster) writeSettings(p *Proc, i int, found bool) error {
	var seeds []string
	for k := range min(3, c.Size.Controls) {
		seeds = append(seeds, hostPort(advertisedIP(k), c.ports.operator))
	}
	text := fmt.Sprintf("name: %s\ndomain: zone-%d\nseeds: [%s]\nfound: %v\ntolerate: %d\n", p.Name, i%3, strings.Join(seeds, ", "), found, (c.Size.Controls-1)/2)
	text += c.Size.regionSettings(i)
	text += fmt.Sprintf("source: {address: %s, duties: [%s], list_rate: 20}\n", c.API.Address, platform.DutyUsage)
	text += "bounds: {grace: 6s, lease: 500ms, usage_window: 1s, usage_due: 2s, order_repeat: 5s, "
	text += fmt.Sprintf("retry_ratio: %v, retry_extra: %d, retry_window: %v}\n", c.Size.retryRatio(), retryExtra, retryWindow)
	if p.Role == "control" {
		text += fmt.Sprintf("operator: %s\npeer: %s\nbind: %s\nmetrics: %s\ndata_dir: %s\n",
			hostPort(advertisedIP(i), c.ports.operator), hostPort(advertisedIP(i), c.ports.peer), listenIP(i), hostPort(listenIP(i), c.ports.metrics), p.Data)
	} else {
		ip := gatewayIP(i)
		text += fmt.Sprintf("memory_mb: %d\ndescriptors: 2000\n", cmp.Or(c.Size.MemoryMB, defaultMemoryMB))
		text += fmt.Sprintf("caller: %s\nready: %s\npeer: %s\nmetrics: %s\n", hostPort(ip, c.ports.caller), hostPort(ip, c.ports.ready), hostPort(ip, c.ports.peer), hostPort(ip, c.ports.metrics))
	}
	if p.Role == "gateway" && c.Size.Sources {
		text += fmt.Sprintf("connect_from: %s\n", gatewaySourceIP(i))
	}
	return os.WriteFile(p.settingsFile, []byte(text), 0o600)
}

// CutOff cuts a gateway off from all backend servers: its connections to them are reset, and so
// are new ones. The cluster must have Sources. Callers, control instances and other gateways still reach it. The returned
// function ends that.
func (c *Cluster) CutOff(gateway int) (restore func()) {
	c.setCutOff(gatewaySourceIP(gateway), true)
	return func() { c.setCutOff(gatewaySourceIP(gateway), false) }
}

// setCutOff cuts off a source address from all backend servers, also from those that are added later, or
// ends that.
func (c *Cluster) setCutOff(source string, cut bool) {
	c.addedMu.Lock()
	defer c.addedMu.Unlock()
	if c.cutOff == nil {
		c.cutOff = map[string]bool{}
	}
	c.cutOff[source] = cut
	for _, proxy := range slices.Concat(c.backendProxies, c.addedProxies) {
		proxy.CutOff(source, cut)
	}
}

// Start starts all processes that do not run.
func (c *Cluster) Start() error {
	for _, p := range c.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// DisableFounding rewrites the settings so that no later start bootstraps a Raft group.
func (c *Cluster) DisableFounding() error {
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

// Close ends all processes, proxies and stand-ins of the cluster.
func (c *Cluster) Close() {
	for _, p := range c.procs {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
		_ = p.out.Close()
	}
	for _, p := range append(c.controlProxies, c.backendProxies...) {
		p.Close()
	}
	for _, b := range c.Backends {
		b.Close()
	}
	c.addedMu.Lock()
	defer c.addedMu.Unlock()
	for i, b := range c.addedBackends {
		c.addedProxies[i].Close()
		b.Close()
	}
	c.API.Close()
}

// Callers returns the addresses of the gateways for callers.
func (c *Cluster) Callers() []string {
	var list []string
	for i := range c.Size.Gateways {
		list = append(list, hostPort(gatewayIP(i), c.ports.caller))
	}
	return list
}

// Operators returns the addresses of the control instances for the operator.
func (c *Cluster) Operators() []string {
	var list []string
	for i := range c.Size.Controls {
		list = append(list, hostPort(advertisedIP(i), c.ports.operator))
	}
	return list
}

// Status returns a control instance's replica status from its dump.
func (c *Cluster) Status(i int) (group.Status, error) {
	var s group.Status
	err := c.fetchControlDump(i, &s)
	return s, err
}

// Relay returns a control instance's relay state from its dump.
func (c *Cluster) Relay(i int) (control.RelayState, error) {
	var d struct{ Relay control.RelayState }
	err := c.fetchControlDump(i, &d)
	return d.Relay, err
}

// fetchControlDump decodes a control instance's dump into v.
func (c *Cluster) fetchControlDump(i int, v any) error {
	return c.fetchDump(hostPort(listenIP(i), c.ports.metrics), v)
}

// fetchDump decodes into v the dump of the process with the given metrics address.
func (c *Cluster) fetchDump(address string, v any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/dump", time.Second)
	if err != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("cannot read the dump of %s: status %d, %w", address, status, err)
	}
	return json.Unmarshal(body, v)
}

// Proc returns the process with the given name, or nil.
func (c *Cluster) Proc(name string) *Proc {
	for _, p := range c.procs {
		if p.Name == name {
			return p
		}
	}
	return nil
}
