//go:build review

package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// proc is one process, which may be started several times.
type proc struct {
	name string
	args []string
	env  []string
	out  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *proc) start() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	// The process ends with this one, so that none is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *proc) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

func (p *proc) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// cluster is a small deployment: five machines of the core and two of the edge, as the settings of
// the users' pages lay them out.
type cluster struct {
	rec      *record
	dir      string // dir is a temporary folder.
	prefix   string // prefix holds the first two octets of the addresses.
	ports    map[string]int
	core     []*proc
	edge     []*proc
	replicas []*proc
	platform *platform
	seeds    []string
	dataDirs map[int]string // dataDirs holds the disks that replaced others, by machine of the core.
}

const (
	coreMachines = 5
	edgeMachines = 2
)

var zoneNames = []string{"br-main", "br-annex", "lafayette", "jackson"}

func (c *cluster) coreIP(i int) string { return fmt.Sprintf("%s.1.%d", c.prefix, 1+i) }
func (c *cluster) edgeIP(i int) string { return fmt.Sprintf("%s.2.%d", c.prefix, 1+i) }

func (c *cluster) operators() (list []string) {
	for i := range coreMachines {
		list = append(list, fmt.Sprintf("%s:%d", c.coreIP(i), c.ports["control"]))
	}
	return list
}

func (c *cluster) front(i int) string { return fmt.Sprintf("%s:%d", c.edgeIP(i), c.ports["front"]) }

// newCluster prepares the processes; none runs yet.
func newCluster(rec *record) (*cluster, error) {
	daemon, err := filepath.Abs("target/weldstreamd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, ports: map[string]int{}, dataDirs: map[int]string{}}
	if err := c.pickAddresses(); err != nil {
		return nil, err
	}
	if c.platform, err = newPlatform(rec); err != nil {
		return nil, err
	}
	for i := range 3 {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", c.coreIP(i), c.ports["control"]))
	}
	for i := range coreMachines {
		p, err := c.machine("control", i, daemon)
		if err != nil {
			return nil, err
		}
		c.core = append(c.core, p)
	}
	for i := range edgeMachines {
		p, err := c.machine("gateway", i, daemon)
		if err != nil {
			return nil, err
		}
		c.edge = append(c.edge, p)
	}
	return c, nil
}

// pickAddresses chooses loopback addresses and ports that nothing uses.
func (c *cluster) pickAddresses() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(100))
		ok := true
		for _, name := range []string{"front", "ready", "control", "peer", "metrics"} {
			c.ports[name] = 20000 + rand.IntN(10000)
			for _, ip := range []string{c.coreIP(0), c.coreIP(1), c.coreIP(2), c.coreIP(3), c.coreIP(4), c.edgeIP(0), c.edgeIP(1)} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, c.ports[name]))
				if err != nil {
					ok = false
					continue
				}
				_ = ln.Close()
			}
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

// machine prepares one process with the command of deploy/system.toml.
func (c *cluster) machine(role string, i int, daemon string) (*proc, error) {
	name := fmt.Sprintf("%s-%d", role, i)
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &proc{
		name: name,
		args: []string{daemon, role, "-settings-from", "WELDSTREAM_BOOT"},
		env:  []string{"WELDSTREAM_BOOT=" + filepath.Join(c.dir, name+".yaml")},
		out:  out,
	}
	return p, c.writeSettings(role, i, true)
}

// writeSettings writes the settings as deploy/node.yaml.tmpl lays them.
func (c *cluster) writeSettings(role string, i int, bootstrap bool) error {
	var b strings.Builder
	zone := zoneNames[i%len(zoneNames)]
	ip := c.edgeIP(i)
	if role == "control" {
		ip = c.coreIP(i)
	}
	fmt.Fprintf(&b, "name: %s-%s-%d\ndomain: %s\nregion: gulf-south\ndomains:\n", role, zone, i, zone)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "  %s: gulf-south\n", z)
	}
	if role == "control" {
		fmt.Fprintf(&b, "operator: %s:%d\n", ip, c.ports["control"])
	} else {
		fmt.Fprintf(&b, "caller: %s:%d\nready: %s:%d\n", ip, c.ports["front"], ip, c.ports["ready"])
	}
	fmt.Fprintf(&b, "peer: %s:%d\nmetrics: %s:%d\n", ip, c.ports["peer"], ip, c.ports["metrics"])
	if role == "control" {
		fmt.Fprintf(&b, "data_dir: %s\n", filepath.Join(c.dir, cmp.Or(c.dataDirs[i], fmt.Sprintf("data-%d", i))))
	}
	b.WriteString("seeds:\n")
	for _, s := range c.seeds {
		fmt.Fprintf(&b, "  - %s\n", s)
	}
	if bootstrap {
		b.WriteString("found: true\n")
	}
	b.WriteString("tolerate: 2\n")
	if role == "control" {
		b.WriteString("memory_mb: 280\ndescriptors: 4096\n")
	} else {
		b.WriteString("memory_mb: 284\ndescriptors: 4100\n")
	}
	fmt.Fprintf(&b, "source:\n  address: %s\n  list_rate: 44.0\n  duties: [usage_report,autoscale]\n", c.platform.address)
	b.WriteString("bounds:\n  revoke: 5000ms\n  grace: 8s\n  lease: 3000ms\n  retry_ratio: 0.2\n  retry_extra: 56\n  retry_window: 10s\n  quota_window: 8s\n  usage_window: 5s\n  order_repeat: 4000ms\n  usage_due: 10s\n")
	name := fmt.Sprintf("%s-%d.yaml", role, i)
	return os.WriteFile(filepath.Join(c.dir, name), []byte(b.String()), 0o600)
}

// endBootstrap lays the settings that hold for every start but the first one.
func (c *cluster) endBootstrap() error {
	for i := range c.core {
		if err := c.writeSettings("control", i, false); err != nil {
			return err
		}
	}
	for i := range c.edge {
		if err := c.writeSettings("gateway", i, false); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startAll() error {
	for _, p := range append(append([]*proc{}, c.core...), c.edge...) {
		if err := p.start(); err != nil {
			return err
		}
		c.rec.log("started %s (process %d)", p.name, p.cmd.Process.Pid)
	}
	return nil
}

// close ends all processes.
func (c *cluster) close() {
	for _, p := range append(append(append([]*proc{}, c.core...), c.edge...), c.replicas...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	c.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
}

// replica starts a replica as a process of its own.
func (c *cluster) replica(args ...string) (*proc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &proc{name: "replica", args: append([]string{self, "replica"}, args...), out: c.rec.file}
	c.replicas = append(c.replicas, p)
	return p, p.start()
}

// put sends a configuration as the operator does: to one machine after the other, with a second
// for each answer, until it is acknowledged or the time is over.
func (c *cluster) put(doc map[string]any, limit time.Duration) bool {
	_, ok := c.putAt(doc, limit)
	return ok
}

// putAt is put that also returns which machine of the core acknowledged.
func (c *cluster) putAt(doc map[string]any, limit time.Duration) (machine int, ok bool) {
	body, _ := json.Marshal(doc)
	client := http.Client{Timeout: time.Second}
	list := c.operators()
	pause := 50 * time.Millisecond
	began := time.Now()
	for n := 0; time.Since(began) < limit; n++ {
		at := list[n%len(list)]
		resp, err := client.Post("http://"+at+"/api/Config.Replace", "application/json", bytes.NewReader(body))
		if err != nil {
			c.rec.log("operator: configuration %v to %s: %v", doc["version"], at, err)
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			c.rec.log("operator: configuration %v to %s: %d", doc["version"], at, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				return n % len(list), true
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, false
}

// awaitReady waits until the platform's balancer would send clients to an edge machine.
func (c *cluster) awaitReady(i int, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", c.edgeIP(i), c.ports["ready"]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.rec.log("edge machine %d is ready", i)
				return true
			}
		}
	}
	return false
}
