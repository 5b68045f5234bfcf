package transport

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// refusingService serves a plain service. If retryAfter is set, it refuses the first
// request as not run, with a Retry-After of that many seconds. latest is when the last
// request arrived, in nanoseconds since began.
func refusingService(t *testing.T, retryAfter string) (address string, received, latest *atomic.Int64) {
	received, latest = &atomic.Int64{}, &atomic.Int64{}
	began := time.Now()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		latest.Store(int64(time.Since(began)))
		if received.Add(1) == 1 && retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
			w.Header().Set(protocol.HeaderVerdict, protocol.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, "fine")
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), received, latest
}

// serviceGateway serves an entry instance with servers of a plain service.
func serviceGateway(t *testing.T, servers ...string) (ask func() *http.Response) {
	const key = "rest-key"
	tables := state.NewTables()
	tables.Install(protocol.Revision{Number: 1, Config: &protocol.Config{
		Services:   []protocol.Service{{Name: "s"}},
		Workspaces: []protocol.Workspace{{Name: "w", Share: 1, KeyDigests: []string{protocol.DigestOf([]byte(key)).String()}}},
	}})
	var list []protocol.Instance
	for i, address := range servers {
		list = append(list, protocol.Instance{ID: fmt.Sprint("s", i), Kind: protocol.InstanceService, Service: "s", Address: address})
	}
	tables.Backends.SetList(list, time.Now())
	g := NewGateway(settings.New(), tables)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = g.Serve(ln) }()
	return func() *http.Response {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String()+"/services/s/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp
	}
}

// TestBackoffIsHonored checks that a server which asked an entry instance to back
// off gets no request from it until the backoff ends, and gets requests again
// afterwards.
func TestBackoffIsHonored(t *testing.T) {
	const backoff = 600 * time.Millisecond
	refusing, received, latest := refusingService(t, "0.6")
	other, _, _ := refusingService(t, "")
	ask := serviceGateway(t, refusing, other)
	for received.Load() == 0 {
		ask()
	}
	refused, begun := latest.Load(), time.Now()
	for received.Load() == 1 {
		if time.Since(begun) > 20*backoff {
			t.Fatal("no request arrived after the backoff")
		}
		if resp := ask(); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if d := time.Duration(latest.Load() - refused); d < backoff {
		t.Errorf("a request arrived %v after one that was refused with a backoff of %v", d, backoff)
	}
}

// TestRetryAfterIsShortestBackoff checks that when all servers are in backoff, the
// caller receives the time until the first of them accepts requests again.
func TestRetryAfterIsShortestBackoff(t *testing.T) {
	a, _, _ := refusingService(t, "40")
	b, _, _ := refusingService(t, "30")
	ask := serviceGateway(t, a, b)
	ask() // Both servers refuse it.
	resp := ask()
	if got := resp.Header.Get("Retry-After"); resp.StatusCode != http.StatusServiceUnavailable || got != "30" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, got)
	}
	if got := resp.Header.Get(protocol.HeaderVerdict); got != protocol.NotRun.String() {
		t.Errorf("verdict %q", got)
	}
}
