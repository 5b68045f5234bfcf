package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
)

// TestUnreadableRequestIsNotQuoted sends malformed requests that contain a key. No
// refusal may quote any of it, since refusals end up in callers' logs.
func TestUnreadableRequestIsNotQuoted(t *testing.T) {
	address := relayGateway(t, "127.0.0.1:1", "key")
	for name, request := range map[string]string{
		"no colon":     "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization Bearer secret-key\r\n\r\n",
		"bad length":   "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: secret-key\r\n\r\n",
		"bad line":     "secret-key\r\nHost: x\r\n\r\n",
		"bad protocol": "POST /v1/secret-key\r\nHost: x\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, request)
		answer, err := io.ReadAll(io.LimitReader(conn, 1<<16))
		conn.Close()
		if !bytes.HasPrefix(answer, []byte("HTTP/1.1 4")) || bytes.Contains(answer, []byte("secret-key")) {
			t.Errorf("%s: %q, %v", name, answer, err)
		}
	}
}
