package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

const relayTokens = 2000

// relayEngine serves the same events for each request.
func relayEngine(tb testing.TB) string {
	var answer bytes.Buffer
	for i := range relayTokens {
		finish := "null"
		if i == relayTokens-1 {
			finish = `"length"`
		}
		fmt.Fprintf(&answer, `data: {"id":"cmpl-0123456789","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":" token","finish_reason":%s}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", finish, i+1, i+10)
	}
	answer.WriteString("data: [DONE]\n\n")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(answer.Bytes())
	}))
	tb.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// relayGateway serves a gateway with one engine.
func relayGateway(tb testing.TB, engine, key string) string {
	tables := state.NewTables()
	tables.Install(protocol.Revision{Number: 1, Config: &protocol.Config{
		Models:     []protocol.Model{{Name: "m", Version: "1"}},
		Routes:     []protocol.Route{{Name: "r", Model: "m"}},
		Workspaces: []protocol.Workspace{{Name: "w", Share: 1, KeyDigests: []string{protocol.DigestOf([]byte(key)).String()}}},
	}})
	tables.Backends.SetList([]protocol.Instance{{ID: "e", Kind: protocol.InstanceEngine, Address: engine}}, time.Now())
	tables.Backends.SetReports([]state.ReportRow{{Server: "e", Report: protocol.LoadReport{Models: []string{"m"}}, At: time.Now()}})
	g := NewGateway(settings.New(), tables)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() })
	go func() { _ = g.Serve(ln) }()
	return ln.Addr().String()
}

// BenchmarkRelay relays one stream at a time at full speed; see BenchmarkRelay of
// package e2e for whole processes.
func BenchmarkRelay(b *testing.B) {
	const key = "relay-key"
	address := relayGateway(b, relayEngine(b), key)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	lines := bufio.NewReaderSize(conn, 64<<10)
	body := `{"model":"r","prompt":"x","max_tokens":2000,"stream":true}`
	b.ReportAllocs()
	for b.Loop() {
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		resp, err := http.ReadResponse(lines, nil)
		if err != nil {
			b.Fatal(err)
		}
		answer, err := io.ReadAll(resp.Body)
		if err != nil || bytes.Count(answer, []byte("\ndata: {")) != relayTokens {
			b.Fatalf("%d bytes arrived, %v", len(answer), err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/relayTokens, "ns/token")
}
