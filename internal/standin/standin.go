// Package standin holds small stand-ins for the systems around weldstream: a
// model engine, a plain service and the platform. They speak the published
// protocols over HTTP and misbehave on request.
//
// Every stand-in has two addresses. The first is what the real system would
// serve; the second, the control address, is for tests and demos: it takes
// faults (POST /faults) and tells what really happened (GET /stats).
//
// The text of a token is a function of prompt and offset, see [TokenText], so
// that a wrong, doubled or missing token is visible in the answer.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// TokenText returns the text of the token at an offset of the answer to a
// prompt, as every engine stand-in generates it.
func TokenText(prompt string, offset int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(offset))
	return " w" + strconv.FormatUint(h&0xffff, 16) + "." + strconv.Itoa(offset)
}

// AnswerText returns the whole answer to a prompt.
func AnswerText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Faults are what a stand-in does wrong, until the next order on its control
// address. The zero value does nothing wrong.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`     // DelayMS is waited before each answer or chunk.
	DropAfter   int  `json:"drop_after"`   // DropAfter closes the connection after so many chunks; 0 never.
	DropAnswer  bool `json:"drop_answer"`  // DropAnswer runs the request and closes without an answer.
	Reorder     bool `json:"reorder"`      // Reorder swaps each two chunks.
	Freeze      bool `json:"freeze"`       // Freeze answers nothing, and accepts all.
	Refuse      bool `json:"refuse"`       // Refuse answers 503 and says that nothing ran.
	Leaving     bool `json:"leaving"`      // Leaving refuses new requests and says so in the load report.
	ListLagMS   int  `json:"list_lag_ms"`  // ListLagMS is how old the platform's list is.
	HoldNotices bool `json:"hold_notices"` // HoldNotices keeps reclaim notices back.
}

// faultBox shares the faults between handlers.
type faultBox struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultBox() *faultBox { return &faultBox{changed: make(chan struct{})} }

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// thaw waits while the stand-in is frozen. It returns false when ctx ends.
func (b *faultBox) thaw(ctx context.Context) bool {
	for {
		b.mu.Lock()
		frozen, changed := b.faults.Freeze, b.changed
		b.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// handleFaults serves POST /faults.
func (b *faultBox) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	b.set(f)
	writeJSON(w, http.StatusOK, f)
}

// Listeners are the two addresses of a stand-in, already open, so that the
// kernel can choose the ports and the caller learns them.
type Listeners struct {
	Main    net.Listener
	Control net.Listener
}

// Listen opens both addresses.
func Listen(main, control string) (Listeners, error) {
	m, err := net.Listen("tcp", main)
	if err != nil {
		return Listeners{}, err
	}
	c, err := net.Listen("tcp", control)
	if err != nil {
		return Listeners{}, errors.Join(err, m.Close())
	}
	return Listeners{Main: m, Control: c}, nil
}

// serve runs both servers until ctx ends.
func (l Listeners) serve(ctx context.Context, main, control http.Handler) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range []struct {
		ln net.Listener
		h  http.Handler
	}{{l.Main, main}, {l.Control, control}} {
		srv := &http.Server{Handler: s.h, ReadHeaderTimeout: 10 * time.Second}
		g.Go(func() error {
			if err := srv.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	return g.Wait()
}

func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	if err := json.NewDecoder(r.Body).Decode(dst); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The reader may be gone; there is nobody to tell.
}

// hangUp closes the connection of a request without an answer.
func hangUp() {
	panic(http.ErrAbortHandler)
}
