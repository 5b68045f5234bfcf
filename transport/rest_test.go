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

// tiredService answers a plain service's requests. The first one is turned away as not run
// with a wish for rest, in seconds, if there is one.
func tiredService(t *testing.T, rest string) (address string, came *atomic.Int64) {
	came = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if came.Add(1) == 1 && rest != "" {
			w.Header().Set("Retry-After", rest)
			w.Header().Set(protocol.HeaderVerdict, protocol.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, "fine")
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), came
}

// serviceGateway serves an entry instance before servers of a plain service.
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

// TestServerRestsBeforeEntryInstances checks that a server which asked an entry instance for
// rest gets nothing from it before its end, and gets requests again behind it.
func TestServerRestsBeforeEntryInstances(t *testing.T) {
	const rest = 600 * time.Millisecond
	tired, came := tiredService(t, "0.6")
	other, _ := tiredService(t, "")
	ask := serviceGateway(t, tired, other)
	for came.Load() == 0 {
		ask()
	}
	asked := time.Now()
	for came.Load() == 1 {
		if time.Since(asked) > 20*rest {
			t.Fatal("no request came behind the rest")
		}
		if resp := ask(); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if d := time.Since(asked); d < rest*9/10 {
		t.Errorf("a request came %v behind the wish for %v of rest", d, rest)
	}
}

// TestEntryInstanceTellsTheEndOfARest checks that a caller is told when the first of the
// servers takes requests again, where all of them rest.
func TestEntryInstanceTellsTheEndOfARest(t *testing.T) {
	a, _ := tiredService(t, "40")
	b, _ := tiredService(t, "30")
	ask := serviceGateway(t, a, b)
	ask() // Both turn it away.
	resp := ask()
	if got := resp.Header.Get("Retry-After"); resp.StatusCode != http.StatusServiceUnavailable || got != "30" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, got)
	}
	if got := resp.Header.Get(protocol.HeaderVerdict); got != protocol.NotRun.String() {
		t.Errorf("verdict %q", got)
	}
}
