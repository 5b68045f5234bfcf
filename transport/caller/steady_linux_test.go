package caller

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// TestSteadyReaderIsNotCut checks that a caller that reads at four times the minimum rate is not
// disconnected although its kernel opens the receive window in steps that take longer than a
// rate window: with memory for the send buffer, and without.
func TestSteadyReaderIsNotCut(t *testing.T) {
	const rate, size = 4 << 10, 150_000
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
		})
	}}
	for _, bound := range []int64{4 << 20, 64 << 10} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			t.Parallel()
			done := make(chan error, 1)
			_, address := listen(t, streamOf(size/500, 500, done), WithMemory(NewMemory(bound, metrics.NewRegistry())), WithSocketBuffer(32<<10),
				WithMinRate(MinRate{Rate: rate, Window: time.Second}))
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			buf := make([]byte, 4*rate/50)
			for got := 0; got < size; {
				n, err := io.ReadFull(conn, buf)
				if got += n; err != nil {
					t.Fatalf("disconnected after %d bytes: %v, the handler ended with %v", got, err, <-done)
				}
				time.Sleep(20 * time.Millisecond) // This is the caller's rate.
			}
		})
	}
}
