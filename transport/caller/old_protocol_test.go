package caller

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// streamHandler responds with two chunks, and with an end unless the path says otherwise.
type streamHandler struct{}

func (streamHandler) Serve(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if a.WriteHeader(resp) != nil || a.WriteChunk([]byte("ab")) != nil || a.WriteChunk([]byte("cd")) != nil {
		return
	}
	if string(req.URI().Path()) != "/cut" {
		_ = a.Finish()
	}
}

func (streamHandler) ErrorResponse(status int, _ string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	resp.SetStatusCode(status)
	return resp
}

// TestUnframedResponseEndsByCloseOrReset guards against truncated responses that look complete to a
// caller of HTTP/1.0, which knows no chunks: a complete one ends with a close, any other with a
// reset.
func TestUnframedResponseEndsByCloseOrReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = NewServer(streamHandler{}).Serve(ln) }()
	for path, whole := range map[string]bool{"/whole": true, "/cut": false} {
		for _, connection := range []string{"", "Connection: keep-alive\r\n"} {
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.0\r\nHost: h\r\n"+connection+"Content-Length: 0\r\n\r\n")
			got, err := io.ReadAll(conn)
			_ = conn.Close()
			_, body, _ := strings.Cut(string(got), "\r\n\r\n")
			if whole && (body != "abcd" || err != nil) {
				t.Errorf("%s %q: got %q, error %v, want a whole body without chunks", path, connection, got, err)
			}
			if !whole && err == nil {
				t.Errorf("%s %q: %q ends with a close like a complete response", path, connection, got)
			}
		}
	}
}
