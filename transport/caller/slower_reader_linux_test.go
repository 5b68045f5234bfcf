package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// TestSlowerSteadyReaderIsNotCut has callers read steadily at two to three and a half times the
// minimum rate. Their kernels acknowledge what they read in steps of most of the receive buffer,
// for which they need longer than a rate window: a third of them was disconnected as too slow.
func TestSlowerSteadyReaderIsNotCut(t *testing.T) {
	const rate, size, reads, callers = 4 << 10, 150_000, 40_000, 4
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460), unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10))
		})
		return errors.Join(err, controlErr)
	}}
	for _, bound := range []int64{4 << 20, 64 << 10} {
		for _, pause := range []time.Duration{23 * time.Millisecond, 28 * time.Millisecond, 40 * time.Millisecond} {
			for i := range callers {
				t.Run(fmt.Sprint(bound, "/", pause, "/", i), func(t *testing.T) {
					t.Parallel()
					done := make(chan error, 1)
					r := metrics.NewRegistry()
					_, address := listen(t, streamOf(size/500, 500, done), WithMemory(NewMemory(bound, r)), WithSocketBuffer(32<<10),
						WithMinRate(MinRate{Rate: rate, Window: time.Second}), WithRegistry(r))
					conn, err := dialer.Dial("tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					buf := make([]byte, 4*rate/50)
					for got := 0; got < reads; got += len(buf) {
						if _, err := io.ReadFull(conn, buf); err != nil {
							t.Fatalf("disconnected after %d bytes: %v", got, err)
						}
						time.Sleep(pause) // This is the caller's rate.
					}
					// What the kernel has buffered still arrives after a disconnection.
					if n := metrics.GetOrRegisterCounter(`callers.slow{side="reads"}`, r).Count(); n != 0 {
						t.Error("disconnected as too slow")
					}
				})
			}
		}
	}
}
