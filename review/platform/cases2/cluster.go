//go:build review2

// Command review2 holds the scripts of the second review: it starts the daemons as separate
// processes on loopback addresses, with stand-ins of the platform, of replicas and of clients.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proc is one daemon.
type proc struct {
	name, role, settings, ip string
	index                    int
	out                      *os.File
	cmd                      *exec.Cmd
	ended                    chan error
}

// cluster is a small deployment: control instances with a disk each, and gateways.
type cluster struct {
	dir      string
	daemon   string
	net      string // net is the first two numbers of the loopback addresses.
	ports    [5]int // ports are control, peer, metrics, front, ready.
	controls []*proc
	gateways []*proc
	api      *platformAPI
	rec      *record
	founded  bool // founded says that the system has been started before: bootstrap is false from then on.
	seeds    []string
	tolerate int
	listRate string
}

// record writes what happened, with times since the start, to a file.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	port := ln.Addr().(*net.TCPAddr).Port
	return port, ln.Close()
}

// newCluster prepares a cluster in a temporary folder. The settings are those that
// deploy/node.yaml.tmpl gives with the bounds of the site.
func newCluster(root string, controls, gateways, tolerate int, rec *record, listRate string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, daemon: filepath.Join(root, "target", "weldstreamd"), net: fmt.Sprintf("127.%d", 20+os.Getpid()%200), rec: rec}
	for i := range c.ports {
		if c.ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	if c.api, err = newPlatformAPI(rec); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, controls) {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", c.net, i+1, c.ports[0]))
	}
	c.seeds, c.tolerate, c.listRate = seeds, tolerate, listRate
	for i := range controls {
		c.controls = append(c.controls, c.newProc("control", i))
	}
	for i := range gateways {
		c.gateways = append(c.gateways, c.newProc("gateway", i))
	}
	giveUp := func(reason string) {
		rec.log("%s", reason)
		c.close(false)
		os.Exit(couldNot)
	}
	time.AfterFunc(caseLimit, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		giveUp("the case was stopped")
	}()
	return c, nil
}

// caseLimit is below the 120 s that a case may take.
const caseLimit = 110 * time.Second

func (c *cluster) newProc(role string, i int) *proc {
	third := map[string]int{"control": 1, "gateway": 2}[role]
	ip := fmt.Sprintf("%s.%d.%d", c.net, third, i+1)
	p := &proc{name: fmt.Sprintf("%s-%d", role, i), role: role, ip: ip, settings: filepath.Join(c.dir, fmt.Sprintf("%s-%d.yaml", role, i))}
	p.index = i
	c.rewrite(p)
	out, err := os.Create(filepath.Join(c.dir, p.name+".log"))
	if err != nil {
		panic(err)
	}
	p.out = out
	return p
}

// rewrite writes the settings of a process as the platform lays them before a start.
func (c *cluster) rewrite(p *proc) {
	var s strings.Builder
	fmt.Fprintf(&s, "name: %s\ndomain: zone-%d\nregion: r\ndomains:\n  zone-0: r\n  zone-1: r\n  zone-2: r\n", p.name, p.index%3)
	if p.role == "gateway" {
		fmt.Fprintf(&s, "caller: %s:%d\nready: %s:%d\n", p.ip, c.ports[3], p.ip, c.ports[4])
	} else {
		fmt.Fprintf(&s, "operator: %s:%d\n", p.ip, c.ports[0])
	}
	fmt.Fprintf(&s, "peer: %s:%d\nmetrics: %s:%d\n", p.ip, c.ports[1], p.ip, c.ports[2])
	if p.role == "control" {
		fmt.Fprintf(&s, "data_dir: %s\n", filepath.Join(c.dir, p.name))
	}
	s.WriteString("seeds:\n")
	for _, seed := range c.seeds {
		fmt.Fprintf(&s, "  - %s\n", seed)
	}
	memory := map[string]int{"control": 280, "gateway": 284}[p.role]
	fmt.Fprintf(&s, "found: %v\ntolerate: %d\nmemory_mb: %d\ndescriptors: 4096\n", !c.founded, c.tolerate, memory)
	fmt.Fprintf(&s, "source:\n  address: %s\n  list_rate: %s\n  duties: [usage_report,autoscale]\n", c.api.address, c.listRate)
	s.WriteString("bounds:\n  revoke: 5000ms\n  grace: 8s\n  lease: 3000ms\n  retry_ratio: 0.2\n  retry_extra: 58\n  retry_window: 10s\n  quota_window: 8s\n  usage_window: 5s\n  order_repeat: 4000ms\n  usage_due: 10s\n")
	if err := os.WriteFile(p.settings, []byte(s.String()), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process with the command of the deploy file.
func (c *cluster) start(p *proc) error {
	cmd := exec.Command(c.daemon, p.role, "-settings-from", "WELDSTREAM_BOOT")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WELDSTREAM_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.out, p.out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan error, 1)
	go func() { p.ended <- cmd.Wait() }()
	return nil
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (c *cluster) front(i int) string { return fmt.Sprintf("%s:%d", c.gateways[i].ip, c.ports[3]) }

func (c *cluster) operator(i int) string { return fmt.Sprintf("%s:%d", c.controls[i].ip, c.ports[0]) }

// startAll starts all processes.
func (c *cluster) startAll() error {
	for _, p := range append(append([]*proc{}, c.controls...), c.gateways...) {
		if err := c.start(p); err != nil {
			return err
		}
	}
	return nil
}

// replace sends a configuration to the control instances in turn until one acknowledges it.
func (c *cluster) replace(document string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		resp, err := client.Post("http://"+c.operator(i%len(c.controls))+"/api/Config.Replace", "application/json", strings.NewReader(document))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no control instance acknowledged the configuration")
}

// awaitReady waits until a gateway says that it is ready.
func (c *cluster) awaitReady(p *proc, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", p.ip, c.ports[4]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// addControl prepares a control instance with an empty disk at an address of its own.
func (c *cluster) addControl() *proc {
	c.founded = true
	p := c.newProc("control", len(c.controls))
	c.controls = append(c.controls, p)
	return p
}

// fetch reads the configuration from the control instances in turn, and returns it once one of
// them answers.
func (c *cluster) fetch(limit time.Duration) (document string, ok bool) {
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		resp, err := client.Get("http://" + c.operator(i%len(c.controls)) + "/api/Config.Fetch")
		if err == nil {
			data, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if readErr == nil && resp.StatusCode == http.StatusOK {
				return string(data), true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}

// dataDir is the disk of a control instance.
func (c *cluster) dataDir(p *proc) string { return filepath.Join(c.dir, p.name) }

// close ends all processes that were started.
func (c *cluster) close(keep bool) {
	for _, p := range append(append([]*proc{}, c.controls...), c.gateways...) {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		_ = p.out.Close()
	}
	c.api.close()
	if !keep {
		_ = os.RemoveAll(c.dir)
	}
}
