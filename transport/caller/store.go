package caller

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/memory"
)

const (
	// blockBytes are taken from the account at a time: most pieces of a stream are a
	// few hundred bytes.
	blockBytes = 4 << 10
	// storeBlocks bound what is kept for one answer: 256 KB are the events of several
	// thousand tokens, more than nearly all answers have.
	storeBlocks = 64
)

// errLate ends an answer whose caller waits for it no longer.
var errLate = eris.New("the caller's time is over")

// errSlow ends an answer whose caller takes less of it than the pace asks for.
var errSlow = eris.New("the caller takes its answer too slowly")

// store is the way to a caller. What the kernel takes at once goes there at once; the
// rest waits in blocks, and a goroutine that lives as long as there is a rest writes
// it. So the server is read at its own pace, and a caller that keeps up costs neither
// copy nor goroutine.
type store struct {
	conn   net.Conn
	memory *Memory
	hold   *memory.Hold
	pace   Pace
	slow   func() // slow is told of a caller that is cut for its rate.
	now    *atOnce
	until  time.Time // until is how long the caller waits for the answer under way; zero where that is not known.

	mu     sync.Mutex // mu guards all below.
	moved  sync.Cond  // moved is told when blocks were written, or none will be.
	blocks [][]byte   // blocks wait, the first of them longest.
	wrotes int        // wrotes counts the blocks that were written.
	taken  int        // taken are the blocks in the account, one that is being written included.
	busy   bool       // busy says that the goroutine runs.
	err    error      // err is why nothing is written any more.
}

func newStore(conn net.Conn, m *Memory, h *memory.Hold, p Pace, slow func()) *store {
	s := &store{conn: conn, memory: m, hold: h, pace: p, slow: slow, now: newAtOnce(conn)}
	s.moved.L = &s.mu
	return s
}

// Write implements io.Writer. It waits only where the store is full or the account
// gives no more: then the server is read as fast as the caller takes it.
func (s *store) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	done := 0
	if !s.busy {
		n, err := s.now.write(p)
		if err != nil {
			s.err = err
			return n, err
		}
		done = n
	}
	for done < len(p) {
		n, err := s.keep(p[done:])
		if err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// keep puts the front of p into the store, or waits until there is room. It needs s.mu.
func (s *store) keep(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if n := len(s.blocks); n > 0 {
		last := s.blocks[n-1]
		if room := min(cap(last)-len(last), len(p)); room > 0 {
			s.blocks[n-1] = append(last, p[:room]...)
			return room, nil
		}
	}
	full := s.taken >= storeBlocks
	if !full && s.memory.Take(s.hold, memory.Lag, blockBytes).Taken {
		s.taken++
		n := min(blockBytes, len(p))
		s.blocks = append(s.blocks, append(make([]byte, 0, blockBytes), p[:n]...))
		s.start()
		return n, nil
	}
	switch {
	case s.busy && full:
		s.moved.Wait()
		return 0, nil
	case s.busy:
		s.waitPressed()
		return 0, nil
	}
	return s.direct(p)
}

// pressed is the pace while the account gives no more: the same rate, and a window no
// longer than a block takes at it. The server waits with the caller then, and who reads
// slowly is not to keep a place there for as long as a whole window.
func (s *store) pressed() Pace {
	p := s.pace
	if p.Rate > 0 {
		p.Window = min(p.Window, blockBytes*time.Second/time.Duration(p.Rate))
	}
	return p
}

// waitPressed waits until a block was written, and cuts the caller if that takes longer
// than it may. It needs s.mu.
func (s *store) waitPressed() {
	before, waits := s.wrotes, true
	w := s.window(s.pressed())
	var timer *time.Timer
	timer = time.AfterFunc(w.time, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !waits || s.wrotes != before || s.err != nil {
			return
		}
		if w.again(time.Now()) || s.took(&w) {
			timer.Reset(w.time)
			return
		}
		s.err = errSlow
		s.slow()
		_ = s.conn.Close() // The write that waits ends with it.
	})
	s.moved.Wait()
	waits = false
	timer.Stop()
}

// direct writes without the store, which got no room at all.
func (s *store) direct(p []byte) (int, error) {
	w := s.window(s.pressed())
	s.mu.Unlock()
	err := s.write(p, &w)
	s.mu.Lock()
	if err != nil {
		s.err = err
		return 0, err
	}
	return len(p), nil
}

func (s *store) start() {
	if s.busy {
		return
	}
	s.busy = true
	go s.drain()
}

// drain writes blocks until none is left.
func (s *store) drain() {
	w := s.window(s.pace)
	for {
		block := s.next()
		if block == nil {
			return
		}
		err := s.write(block, &w)
		s.memory.Give(s.hold, memory.Lag, blockBytes)
		s.wrote(err)
	}
}

// next returns the block to be written now; nil, behind the last.
func (s *store) next() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.blocks) == 0 {
		s.busy = false
		s.moved.Broadcast()
		return nil
	}
	block := s.blocks[0]
	s.blocks[0] = nil
	s.blocks = s.blocks[1:]
	return block
}

// wrote notes what became of a block. After an error no other is written.
func (s *store) wrote(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken--
	s.wrotes++
	if err != nil {
		if s.err == nil {
			s.err = err
		}
		s.memory.Give(s.hold, memory.Lag, len(s.blocks)*blockBytes)
		s.taken -= len(s.blocks)
		s.blocks = nil
	}
	s.moved.Broadcast()
}

// window begins a window of a pace.
func (s *store) window(p Pace) window {
	var w window
	w.begin(p, time.Now())
	w.queued, _ = s.now.queued()
	return w
}

// took reports whether the caller has acknowledged what a window asks for, and begins the
// next one then. A kernel makes room in steps of a third of what it keeps, up to 40 KB,
// for which a caller well above the pace takes longer than a window.
func (s *store) took(w *window) bool {
	queued, known := s.now.queued()
	if !known || w.queued+w.got-queued < w.need {
		return false
	}
	w.got, w.end, w.queued = 0, time.Now().Add(w.time), queued
	return true
}

// write writes p, as long as each window brings what the pace asks for.
func (s *store) write(p []byte, w *window) error {
	for len(p) > 0 {
		end, last := w.end, !s.until.IsZero() && s.until.Before(w.end)
		if last {
			end = s.until
		}
		if err := s.conn.SetWriteDeadline(end); err != nil {
			return err
		}
		n, err := s.conn.Write(p)
		p = p[n:]
		next := w.moved(n, time.Now)
		if next {
			w.queued, _ = s.now.queued()
		}
		if err != nil && !isTimeout(err) {
			return err
		}
		if err != nil && last {
			return errLate
		}
		if err != nil && !next && !w.again(time.Now()) && !s.took(w) {
			s.slow()
			return errSlow
		}
	}
	return s.conn.SetWriteDeadline(time.Time{}) // A write without a wait looks at it too.
}

// settle returns when all is written, or nothing more will be.
func (s *store) settle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.busy {
		s.moved.Wait()
	}
	return s.err
}
