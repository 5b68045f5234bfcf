package transport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/transport/backend"
)

// repeated yields a text again and again, up to left bytes.
type repeated struct {
	text string
	left int
}

func (r *repeated) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p[:min(len(p), r.left)], r.text)
	r.left -= n
	return n, nil
}

// TestEngineStreamWithoutEnd checks that a stream of an engine whose bytes never end behind its last event,
// or inside an event, is given up, and that its connection is not used again.
func TestEngineStreamWithoutEnd(t *testing.T) {
	const most = 16 << 20
	for name, start := range map[string]string{"behind the last event": "data: [DONE]\n\n", "inside an event": "data: "} {
		client, server := net.Pipe()
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		rest := &repeated{text: "x", left: most}
		br := bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"+start), rest))
		var resp fasthttp.Response
		if err := backend.ReadHead(br, &resp); err != nil {
			t.Fatal(err)
		}
		g := &Gateway{settings: &settings.Settings{}}
		g.settings.Timeouts.FirstByte = time.Minute
		g.settings.Timeouts.ChunkGap = time.Minute
		var failed int
		c := &call{connBroken: func(*call, error) {}, send: func(m attempt.Msg) bool {
			if _, ok := m.(attempt.FailedMsg); ok {
				failed++
			}
			return true
		}}
		if g.readEvents(c, &serverConn{conn: client, body: backend.NewBody(br, &resp)}) {
			t.Errorf("%s: the connection would be used again", name)
		}
		if failed != 1 || most-rest.left > 1<<20 {
			t.Errorf("%s: %d failures were reported, %d bytes were read", name, failed, most-rest.left)
		}
	}
}
