package caller

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/memory"
)

const (
	// blockBytes are taken from the account at a time: most pieces of a stream
	// are a few hundred bytes, and need not each ask for room.
	blockBytes = 4 << 10
	// maxBlocks bounds what waits of one answer, in blocks: 256 KB are the events of several
	// thousand tokens, more than nearly all answers have.
	maxBlocks = 64
)

// errLate ends an answer whose caller waits for it no longer.
var errLate = eris.New("the caller's time is over")

// errSlow ends an answer whose caller takes less of it than the pace asks for.
var errSlow = eris.New("the caller takes its answer too slowly")

// sendBuffer writes answers to a caller and decouples the server from a slow one. What the
// kernel takes without waiting is written directly; the rest waits in blocks, which a
// goroutine writes and ends with the last. So the server is read at its own pace, and a
// caller that keeps up costs neither copy nor goroutine. A full buffer is backpressure:
// Write waits, and the server is read as fast as the caller reads.
type sendBuffer struct {
	conn   net.Conn
	memory *Memory
	hold   *memory.Hold
	pace   MinRate
	slow   func() // slow is called when the caller is cut for its rate.
	socket *nonblocking
	until  time.Time // until is how long the caller waits for the answer under way; zero where that is not known.

	mu       sync.Mutex // mu guards all below.
	changed  sync.Cond  // changed is broadcast when a block was written, or none will be.
	blocks   [][]byte   // blocks wait, the first of them longest.
	written  int        // written counts the blocks that were written.
	taken    int        // taken are the blocks in the account, one that is being written included.
	draining bool       // draining says that the goroutine runs.
	err      error      // err is why nothing is written any more.
}

// newSendBuffer returns a buffer whose blocks are taken from an account for a hold.
func newSendBuffer(conn net.Conn, m *Memory, h *memory.Hold, p MinRate, slow func()) *sendBuffer {
	s := &sendBuffer{conn: conn, memory: m, hold: h, pace: p, slow: slow, socket: newNonblocking(conn)}
	s.changed.L = &s.mu
	return s
}

// Write implements io.Writer. It waits only where the buffer is full or the account
// has no room: then the server is read as fast as the caller takes it.
func (s *sendBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	done := 0
	if !s.draining {
		n, err := s.socket.write(p)
		if err != nil {
			s.err = err
			return n, err
		}
		done = n
	}
	for done < len(p) {
		n, err := s.buffer(p[done:])
		if err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// buffer puts the front of p into the blocks, and returns how much; 0 after a wait for
// room. It needs s.mu.
func (s *sendBuffer) buffer(p []byte) (int, error) {
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
	full := s.taken >= maxBlocks
	if !full && s.memory.Reserve(s.hold, memory.Lag, blockBytes).Granted {
		s.taken++
		n := min(blockBytes, len(p))
		s.blocks = append(s.blocks, append(make([]byte, 0, blockBytes), p[:n]...))
		s.startDrain()
		return n, nil
	}
	switch {
	case s.draining && full:
		s.changed.Wait()
		return 0, nil
	case s.draining:
		s.waitForBlock()
		return 0, nil
	}
	return s.direct(p)
}

// paceWhenFull is the pace while the account has no room: the same rate, over a window no
// longer than a block takes at it. The server waits for the caller meanwhile, and a slow
// one is not to occupy it for as long as a whole window.
func (s *sendBuffer) paceWhenFull() MinRate {
	p := s.pace
	if p.Rate > 0 {
		p.Window = min(p.Window, blockBytes*time.Second/time.Duration(p.Rate))
	}
	return p
}

// waitForBlock waits until a block was written, and cuts the caller if that takes longer
// than it may. It needs s.mu.
func (s *sendBuffer) waitForBlock() {
	before, waits := s.written, true
	w := s.window(s.paceWhenFull())
	var timer *time.Timer
	timer = time.AfterFunc(w.time, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !waits || s.written != before || s.err != nil {
			return
		}
		if w.restartIfFrozen(time.Now()) || s.acknowledged(&w) {
			timer.Reset(w.time)
			return
		}
		s.err = errSlow
		s.slow()
		_ = s.conn.Close() // The write that waits ends with it.
	})
	s.changed.Wait()
	waits = false
	timer.Stop()
}

// direct writes p while nothing is buffered and the account has no room for a block. It
// needs s.mu, and lets go of it meanwhile.
func (s *sendBuffer) direct(p []byte) (int, error) {
	w := s.window(s.paceWhenFull())
	s.mu.Unlock()
	err := s.write(p, &w)
	s.mu.Lock()
	if err != nil {
		s.err = err
		return 0, err
	}
	return len(p), nil
}

// startDrain starts the goroutine that writes the blocks, unless it runs. It needs s.mu.
func (s *sendBuffer) startDrain() {
	if s.draining {
		return
	}
	s.draining = true
	go s.drain()
}

// drain writes blocks until none is left.
func (s *sendBuffer) drain() {
	w := s.window(s.pace)
	for {
		block := s.next()
		if block == nil {
			return
		}
		err := s.write(block, &w)
		s.memory.Release(s.hold, memory.Lag, blockBytes)
		s.blockDone(err)
	}
}

// next returns the block to be written now; nil, behind the last.
func (s *sendBuffer) next() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.blocks) == 0 {
		s.draining = false
		s.changed.Broadcast()
		return nil
	}
	block := s.blocks[0]
	s.blocks[0] = nil
	s.blocks = s.blocks[1:]
	return block
}

// blockDone notes what became of a block. After an error no other is written.
func (s *sendBuffer) blockDone(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken--
	s.written++
	if err != nil {
		if s.err == nil {
			s.err = err
		}
		s.memory.Release(s.hold, memory.Lag, len(s.blocks)*blockBytes)
		s.taken -= len(s.blocks)
		s.blocks = nil
	}
	s.changed.Broadcast()
}

// window begins a window of a pace.
func (s *sendBuffer) window(p MinRate) window {
	var w window
	w.begin(p, time.Now())
	w.queued, _ = s.socket.queued()
	return w
}

// acknowledged reports whether the caller has acknowledged what a window asks for, and begins the
// next one then. A kernel makes room in steps of a third of what it keeps, up to 40 KB,
// for which a caller well above the pace takes longer than a window.
func (s *sendBuffer) acknowledged(w *window) bool {
	queued, known := s.socket.queued()
	if !known || w.queued+w.got-queued < w.need {
		return false
	}
	w.got, w.end, w.queued = 0, time.Now().Add(w.time), queued
	return true
}

// write writes p, as long as each window brings what the pace asks for.
func (s *sendBuffer) write(p []byte, w *window) error {
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
		next := w.add(n, time.Now)
		if next {
			w.queued, _ = s.socket.queued()
		}
		if err != nil && !isTimeout(err) {
			return err
		}
		if err != nil && last {
			return errLate
		}
		if err != nil && !next && !w.restartIfFrozen(time.Now()) && !s.acknowledged(w) {
			s.slow()
			return errSlow
		}
	}
	return s.conn.SetWriteDeadline(time.Time{}) // A write without a wait looks at it too.
}

// awaitWritten returns when all is written, or nothing more will be.
func (s *sendBuffer) awaitWritten() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.draining {
		s.changed.Wait()
	}
	return s.err
}
