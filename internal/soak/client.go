package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// key is the workspace key of all callers.
const key = "soak-key"

// askTime is what a caller waits for.
const askTime = 6 * time.Second

// Ask is one request of a caller.
type Ask struct {
	ID     string
	Path   string
	Once   bool // Once says that it may run once at the most.
	Stream bool
}

// Reply is what the caller got; Status is 0 without a whole answer.
type Reply struct {
	Status int
	Body   string
	Seal   string
	Whole  bool
}

// Client is a caller with one connection that it keeps for as long as it can.
type Client struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

// NewClient returns a caller of one gateway.
func NewClient(address string) *Client { return &Client{address: address} }

// Close ends the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Ask makes one request and never asks again.
func (c *Client) Ask(a Ask) Reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Reply{}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(askTime + time.Second))
	body := "body of " + a.ID
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		a.Path, a.ID, askTime.Milliseconds(), key, len(body), body)
	if err != nil {
		c.Close()
		return Reply{}
	}
	return c.read()
}

func (c *Client) read() Reply {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.Close()
		return Reply{}
	}
	defer closeBody(resp)
	data, err := io.ReadAll(resp.Body)
	r := Reply{Status: resp.StatusCode, Body: string(data), Seal: resp.Header.Get("Server-Seal"), Whole: err == nil}
	if err != nil || resp.Close {
		c.Close()
	}
	return r
}

func closeBody(r *http.Response) { _ = r.Body.Close() }

// Checker holds what callers see against what backend servers saw.
type Checker struct {
	record *standin.Record

	mu       sync.Mutex // mu guards all below.
	breaches []string
	asks     map[string]Ask
	replies  map[string]Reply
	served   int
}

// NewChecker returns a checker over a record.
func NewChecker(r *standin.Record) *Checker {
	return &Checker{record: r, asks: map[string]Ask{}, replies: map[string]Reply{}}
}

func (k *Checker) breach(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breaches = append(k.breaches, fmt.Sprintf(format, args...))
}

// Note keeps a request with its answer and checks what can be checked at once.
func (k *Checker) Note(a Ask, r Reply) {
	k.mu.Lock()
	k.asks[a.ID], k.replies[a.ID] = a, r
	if r.Whole && r.Status == http.StatusOK {
		k.served++
	}
	k.mu.Unlock()
	if !r.Whole || r.Status != http.StatusOK {
		return
	}
	if a.Stream {
		if r.Body != standin.Stream() {
			k.breach("%s: a stream came as %q", a.ID, r.Body)
		}
		return
	}
	if want := fmt.Sprintf("done %s body of %s", a.ID, a.ID); r.Body != want || !strings.HasPrefix(r.Seal, a.ID+".") {
		k.breach("%s: got %q signed %q", a.ID, r.Body, r.Seal)
	}
}

// Finish checks what only the end shows: how often each request ran.
func (k *Checker) Finish() {
	for id, a := range k.asks {
		runs, r := k.record.Runs(id), k.replies[id]
		if a.Once && len(runs) > 1 {
			k.breach("%s ran %d times", id, len(runs))
		}
		if promised := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests; promised && a.Once && len(runs) > 0 {
			k.breach("%s was refused with %d and ran", id, r.Status)
		}
		for _, run := range runs {
			if run.Tenant != tenant || run.Path != a.Path || run.Body != "body of "+id {
				k.breach("%s ran as %+v", id, run)
			}
		}
	}
}

// Served counts the whole answers.
func (k *Checker) Served() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served
}

// Breaches returns the broken promises.
func (k *Checker) Breaches() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.breaches...)
}

// tenant is the workspace of all callers.
const tenant = "soakers"

// Operator sends configurations and reads them back.
type Operator struct {
	addresses []string
	client    http.Client
	checker   *Checker
	next      int
	acked     uint64 // acked is the highest number that was acknowledged.
}

// NewOperator returns an operator of a cluster.
func NewOperator(c *Cluster, k *Checker) *Operator {
	return &Operator{addresses: c.Operators(), client: http.Client{Timeout: 4 * time.Second}, checker: k}
}

// document is a configuration with a number.
func document(number uint64) string {
	route := func(name, prefix, kind, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"soak.example","pathPrefix":%q,"kind":%q,"timeoutMs":7000,"targetLatencyMs":500,"maxAttempts":3,"service":%q%s}`, name, prefix, kind, service, more)
	}
	return `{"version":` + strconv.FormatUint(number, 10) + `,"routes":[` + strings.Join([]string{
		route("once", "/once/", "non_idempotent", ""),
		route("again", "/again/", "idempotent", ""),
		route("stream", "/stream/again/", "streaming", `,"streamResume":true`),
		route("stream-once", "/stream/once/", "streaming", ""),
	}, ",") + `],"services":[{"name":"` + service + `","maxConnections":100}],"tenants":[{"name":"` + tenant + `","apiKeys":["` + key + `"]}]}`
}

// Put sends a configuration to the next instance and reports whether it was
// acknowledged.
func (o *Operator) Put(number uint64) bool {
	at := o.addresses[o.next%len(o.addresses)]
	o.next++
	resp, err := o.client.Post("http://"+at+"/api/Config.Replace", "application/json", strings.NewReader(document(number)))
	if err != nil {
		return false
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusOK {
		o.acked = max(o.acked, number)
		return true
	}
	if resp.StatusCode < 500 {
		o.checker.breach("configuration %d was answered %d", number, resp.StatusCode)
	}
	return false
}

// Get reads the configuration back at one instance and checks that it is no
// older than what was acknowledged. It reports whether it was told any.
func (o *Operator) Get(i int) bool {
	resp, err := o.client.Get("http://" + o.addresses[i%len(o.addresses)] + "/api/Config.Fetch")
	if err != nil {
		return false
	}
	defer closeBody(resp)
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	var number uint64
	if _, err := fmt.Sscanf(string(data), `{"version":%d,`, &number); err != nil || string(data) != document(number) {
		o.checker.breach("read back %.80q", data)
		return false
	}
	if number < o.acked {
		o.checker.breach("read back %d after %d was acknowledged", number, o.acked)
	}
	return true
}
