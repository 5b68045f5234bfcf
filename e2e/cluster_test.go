package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

const (
	operatorToken = "operator-token-for-tests"
	workspaceKey  = "workspace-key-for-tests"
	clusterKey    = "cluster-key-for-tests-0123456789"
)

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// standinProcess is a running stand-in with its service and control addresses.
type standinProcess struct {
	*process
	id      string
	address string
	control string
}

func startStandin(t testing.TB, kind, id string, args ...string) *standinProcess {
	t.Helper()
	args = append([]string{kind, "-id", id}, args...)
	s := &standinProcess{id: id, process: start(t, id, "weldstandin", args...)}
	eventually(t, id+" listens", func() bool {
		s.address, s.control = field(s.out.String(), "listen"), field(s.out.String(), "control")
		return strings.Contains(s.out.String(), "\n")
	})
	return s
}

func (s *standinProcess) faults(f standin.Faults) { post(s.t, s.control, "/faults", f) }

func (s *standinProcess) engineStats() standin.EngineStats {
	var stats standin.EngineStats
	getJSON(s.t, "http://"+s.control+"/stats", &stats)
	return stats
}

func (s *standinProcess) serviceStats() standin.ServiceStats {
	var stats standin.ServiceStats
	getJSON(s.t, "http://"+s.control+"/stats", &stats)
	return stats
}

func post(t testing.TB, address, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		t.Fatalf("POST %s answered %d", path, resp.StatusCode)
	}
}

func getJSON(t testing.TB, url string, dst any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		t.Fatal(err)
	}
}

// daemon is a weldstreamd process with its addresses and settings.
type daemon struct {
	*process
	c             *cluster
	name          string
	domain        string
	caller        string
	peer          string
	admin         string
	data          string
	extraSettings string
	listenPeer    atomic.Value // listenPeer is the peer address that the process listens on, a string.
	advertise     string       // advertise is the address of the proxy in front of listenPeer, if there is one.
}

// cluster holds all processes that a test runs.
type cluster struct {
	t            testing.TB
	dir          string
	platform     *standinProcess
	engines      []*standinProcess
	services     []*standinProcess
	listed       []protocol.Instance
	daemons      []*daemon
	replicas     []string
	listReadOnce bool // listReadOnce makes the next daemon read the platform's list only at its start.
	noNotices    bool // noNotices makes the next daemon read no notices from the platform.
}

// clusterSpec describes the cluster that a test starts.
type clusterSpec struct {
	daemons         int
	replicas        int // replicas is the number of daemons that are Raft replicas; 0 means 1, or 3 if there are at least 3 daemons.
	engines         int
	services        int
	engineFlags     []string // engineFlags are additional command-line flags of the engines.
	extraEngineIDs  int      // extraEngineIDs is the number of additional IDs under which the engines are listed from the start.
	oneListReader   bool     // oneListReader lets only the first daemon read the platform's list after its start.
	oneNoticeReader bool     // oneNoticeReader lets only the first daemon read the platform's notices.
	settings        string   // settings are additional lines in every daemon's settings file.
}

func newCluster(t testing.TB, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	c.platform = startStandin(t, "platform", "platform")
	for i := range spec.engines {
		c.addEngine(i, spec.engineFlags)
	}
	for i := range spec.extraEngineIDs {
		row := c.listed[i%spec.engines]
		row.ID = fmt.Sprintf("more-%d", i)
		c.listed = append(c.listed, row)
	}
	for i := range spec.services {
		s := startStandin(t, "service", fmt.Sprintf("gantry-%d", i+1))
		c.services = append(c.services, s)
		c.listed = append(c.listed, protocol.Instance{ID: s.id, Kind: protocol.InstanceService, Service: "gantry", Address: s.address, Domain: domain(i)})
	}
	c.publishInstances()
	if spec.replicas == 0 {
		spec.replicas = 1 + 2*min(1, spec.daemons/3)
	}
	c.write("cluster.key", clusterKey)
	for i := range spec.replicas {
		c.replicas = append(c.replicas, fmt.Sprintf("entry-%d", i+1))
	}
	for i := range spec.daemons {
		c.noNotices, c.listReadOnce = spec.oneNoticeReader && i > 0, spec.oneListReader && i > 0
		c.startDaemon(fmt.Sprintf("entry-%d", i+1), domain(i), spec.settings)
	}
	return c
}

func domain(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func (c *cluster) addEngine(i int, flags []string) *standinProcess {
	args := append([]string{"-models", "docket-8b", "-adapters", "arraignment", "-token-time", "5ms", "-report-lag", "20ms"}, flags...)
	e := startStandin(c.t, "engine", fmt.Sprintf("engine-%d", i+1), args...)
	c.engines = append(c.engines, e)
	c.listed = append(c.listed, protocol.Instance{ID: e.id, Kind: protocol.InstanceEngine, Address: e.address, Domain: domain(i), Class: "gpu-small"})
	return e
}

// publishInstances sets the platform's list of instances.
func (c *cluster) publishInstances() {
	post(c.t, c.platform.control, "/setup", standin.PlatformSetup{Instances: c.listed})
}

func (c *cluster) reclaim(o standin.ReclaimOrder) { post(c.t, c.platform.control, "/reclaim", o) }

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// startDaemon starts an instance whose peers are the instances already running.
func (c *cluster) startDaemon(name, domain, extra string) *daemon {
	c.t.Helper()
	d := &daemon{c: c, name: name, domain: domain, extraSettings: extra, data: filepath.Join(c.dir, name)}
	d.launch()
	c.daemons = append(c.daemons, d)
	return d
}

// launch starts the daemon's process; it is also used for restarts.
func (d *daemon) launch() {
	d.c.t.Helper()
	d.process = start(d.c.t, d.name, "weldstreamd", "-settings", d.c.write(d.name+".yaml", d.settings()))
	eventually(d.c.t, d.name+" serves", func() bool {
		if !d.alive() {
			d.c.t.Fatalf("%s exited with code %d:\n%s", d.name, d.code, d.err.String())
		}
		return d.readAddresses()
	})
}

func (d *daemon) readAddresses() bool {
	for line := range strings.Lines(d.err.String()) {
		var row struct{ Message, Caller, Peer, Admin string }
		if json.Unmarshal([]byte(line), &row) == nil && row.Message == "serving" {
			d.caller, d.peer, d.admin = row.Caller, row.Peer, row.Admin
			d.listenPeer.Store(row.Peer)
			if d.advertise != "" {
				d.peer = d.advertise
			}
			return true
		}
	}
	return false
}

func (d *daemon) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndomain: %s\ncaller: 127.0.0.1:0\npeer: 127.0.0.1:0\nadmin: 127.0.0.1:0\nlog_level: debug\n", d.name, d.domain)
	fmt.Fprintf(&b, "cluster:\n  key_file: %s\n  operator_sha256: [%s]\n", filepath.Join(d.c.dir, "cluster.key"), digestOf(operatorToken))
	fmt.Fprintf(&b, "  replicas: [%s]\n  peers:\n", strings.Join(d.c.replicas, ", "))
	for _, o := range d.c.daemons {
		if o != d && o.alive() {
			fmt.Fprintf(&b, "    - {name: %s, address: %q}\n", o.name, o.peer)
		}
	}
	text := strings.TrimSuffix(b.String(), "  peers:\n")
	for _, r := range d.c.replicas {
		if r == d.name {
			text += "data_dir: " + d.data + "\n"
		}
	}
	if d.advertise != "" {
		text += "peer_advertise: " + d.advertise + "\n"
	}
	poll := "100ms"
	if d.c.listReadOnce {
		poll = "1m"
	}
	text += fmt.Sprintf("platform:\n  address: %s\n  poll: %s\n", d.c.platform.address, poll)
	if d.c.noNotices {
		text += "  notice_poll: 10m\n"
	}
	return text + d.extraSettings
}

const testConfig = `
models:
  - {name: docket-8b, version: "1"}
adapters:
  - {name: arraignment, model: docket-8b, version: "1"}
routes:
  - {name: docket-summary, model: docket-8b}
  - {name: arraignment-draft, model: docket-8b, adapter: arraignment}
  - {name: notice, model: docket-8b, not_repeatable: true}
services:
  - {name: gantry, not_repeatable: [/charge]}
workspaces:
  - name: eastbr
    key_sha256: [%s]
    share: 3
`

func configText() string { return fmt.Sprintf(testConfig, digestOf(workspaceKey)) }

// ctl runs weldctl against the instance and returns its exit code and output.
func (d *daemon) ctl(args ...string) (int, string) {
	d.c.t.Helper()
	args = append([]string{args[0], "-admin", d.admin, "-token-file", d.c.write("token", operatorToken)}, args[1:]...)
	p := start(d.c.t, "weldctl", "weldctl", args...)
	code := p.wait()
	return code, p.out.String() + p.err.String()
}

// apply applies a configuration and waits until it is in force on every
// instance.
func (c *cluster) apply(number int, text string) {
	c.t.Helper()
	c.awaitMembers()
	code, out := c.daemons[0].ctl("apply", "-number", fmt.Sprint(number), "-wait", "30s", c.write("config.yaml", text))
	if code != 0 {
		c.t.Fatalf("weldctl apply exited with code %d: %s", code, out)
	}
	for _, d := range c.daemons {
		if d.alive() {
			d.awaitReady()
		}
	}
}

// awaitMembers waits until every live daemon sees all live daemons as members.
func (c *cluster) awaitMembers() {
	c.t.Helper()
	for _, d := range c.daemons {
		if !d.alive() {
			continue
		}
		eventually(c.t, d.name+" sees all members", func() bool {
			seen := 0
			for _, p := range d.view().Instances {
				if p.State == protocol.MemberAlive {
					seen++
				}
			}
			return seen >= c.aliveCount()
		})
	}
}

func (c *cluster) aliveCount() int {
	n := 0
	for _, d := range c.daemons {
		if d.alive() {
			n++
		}
	}
	return n
}

func (d *daemon) awaitReady() {
	d.c.t.Helper()
	eventually(d.c.t, d.name+" is ready", func() bool {
		resp, err := http.Get("http://" + d.caller + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// adminGet reads JSON from the instance's admin address.
func (d *daemon) adminGet(path string, dst any) {
	d.c.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+d.admin+path, nil)
	if err != nil {
		d.c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		d.c.t.Fatal(err)
	}
}

func (d *daemon) view() transport.ConfigView {
	var v transport.ConfigView
	d.adminGet("/v1/config", &v)
	return v
}

// dumpView holds the fields of /dump that the tests check.
type dumpView struct {
	Ready   bool
	Number  uint64
	Streams []struct {
		Request string
		Server  string
		Attempt int
		Tokens  int
	}
	Leaving []protocol.Leaving
	Servers []struct {
		ID      string
		Leaving bool
		Sent    int64
	}
}

func (d *daemon) dump() dumpView {
	var v dumpView
	d.adminGet("/dump", &v)
	return v
}

// readyStatus returns the HTTP status of /readyz, or 0 if the request fails.
func (d *daemon) readyStatus() int {
	resp, err := http.Get("http://" + d.caller + "/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// adminPost posts JSON to the instance's admin address.
func (d *daemon) adminPost(path string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.admin+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	return http.DefaultClient.Do(req)
}
