// Package standin provides test doubles of the systems around weldstream: a model
// engine, a plain service and the platform. They implement the published protocols
// over HTTP and inject faults on request.
//
// Every stand-in has two addresses. The first serves the interface of the real
// system. The second, the control address, is for tests and demos: it sets faults
// (POST /faults) and, for engines and services, returns statistics (GET /stats).
//
// The text of a token is a function of prompt and offset, see [TokenText], so
// that a wrong, duplicate or missing token is visible in the answer.
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

// TokenText returns the text that every engine stand-in generates for the token at
// an offset of the answer to a prompt.
func TokenText(prompt string, offset int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(offset))
	return " w" + strconv.FormatUint(h&0xffff, 16) + "." + strconv.Itoa(offset)
}

// AnswerText returns the complete answer to a prompt.
func AnswerText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Faults are the faults that a stand-in injects until the next POST /faults. The
// zero value injects none.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`     // DelayMS is the delay before each answer or chunk.
	DropAfter   int  `json:"drop_after"`   // DropAfter closes the connection after this many chunks; 0 never does.
	DropAnswer  bool `json:"drop_answer"`  // DropAnswer runs the request and closes the connection without an answer.
	Reorder     bool `json:"reorder"`      // Reorder swaps each pair of chunks.
	Freeze      bool `json:"freeze"`       // Freeze accepts all connections and answers none.
	Refuse      bool `json:"refuse"`       // Refuse answers 503 with the verdict that the request did not run.
	Leaving     bool `json:"leaving"`      // Leaving refuses new requests and sets Leaving in the load report.
	ListLagMS   int  `json:"list_lag_ms"`  // ListLagMS is the age of the platform's list.
	HoldNotices bool `json:"hold_notices"` // HoldNotices withholds reclaim notices.
}

// faultState holds the current faults, shared by all handlers.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (b *faultState) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *faultState) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// waitUnfrozen waits while the stand-in is frozen. It returns false when ctx ends.
func (b *faultState) waitUnfrozen(ctx context.Context) bool {
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
func (b *faultState) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	b.set(f)
	writeJSON(w, http.StatusOK, f)
}

// Listeners holds the open listeners of a stand-in. They are opened before serving, so
// that the kernel can choose the ports and the caller can read them.
type Listeners struct {
	Main    net.Listener
	Control net.Listener
}

// Listen opens both listeners.
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
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected.
}

// abortConnection closes the connection of a request without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
