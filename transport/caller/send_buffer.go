package caller

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/memory"
)

const (
	// blockBytes is the size of a reservation: most chunks of a stream are a few hundred bytes
	// and need no reservation each.
	blockBytes = 4 << 10
	// maxBlocks bounds the buffered blocks of one response: 256 KB hold the events of several
	// thousand tokens, more than nearly all responses have.
	maxBlocks = 64
)

// errDeadlinePassed ends a response whose caller no longer waits for it.
var errDeadlinePassed = eris.New("the caller's deadline passed")

// errTooSlow ends a response that the caller reads below the minimum rate.
var errTooSlow = eris.New("the caller reads the response below the minimum rate")

// sendBuffer writes responses to a caller and decouples the backend server from a slow caller.
// Data that the kernel accepts without blocking is written directly. The rest is buffered in
// blocks, which a goroutine writes; it ends after the last block. The server's response is thus
// read at the server's rate, and a caller that keeps up costs neither a copy nor a goroutine. A
// full buffer applies backpressure: Write blocks, and the server's response is read as fast as
// the caller reads.
type sendBuffer struct {
	conn     net.Conn
	memory   *Memory
	hold     *memory.Hold
	minRate  MinRate
	onSlow   func() // onSlow is called when the caller is disconnected for its rate.
	socket   *nonblockingWriter
	deadline time.Time // deadline is when the caller stops waiting for the current response; zero if unknown.

	mu             sync.Mutex // mu guards all below.
	changed        sync.Cond  // changed is broadcast when a block was written or no more will be.
	blocks         [][]byte   // blocks are the buffered blocks in order.
	writtenBlocks  int        // writtenBlocks counts the blocks that were written.
	reservedBlocks int        // reservedBlocks counts the blocks with reserved memory, including one being written.
	draining       bool       // draining says that the drain goroutine is running.
	err            error      // err is the reason why nothing more is written.
}

// newSendBuffer returns a buffer that reserves its blocks from m and charges them to h.
func newSendBuffer(conn net.Conn, m *Memory, h *memory.Hold, p MinRate, slow func()) *sendBuffer {
	s := &sendBuffer{conn: conn, memory: m, hold: h, minRate: p, onSlow: slow, socket: newNonblockingWriter(conn)}
	s.changed.L = &s.mu
	return s
}

// Write implements io.Writer. It blocks only if the buffer is full or no memory can be reserved;
// the server's response is then read as fast as the caller reads.
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
		n, err := s.enqueue(p[done:])
		if err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// enqueue appends a prefix of p to the blocks and returns its length, which is 0 after waiting
// for space. The caller must hold s.mu.
func (s *sendBuffer) enqueue(p []byte) (int, error) {
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
	full := s.reservedBlocks >= maxBlocks
	if !full && s.memory.Reserve(s.hold, memory.Lag, blockBytes).Granted {
		s.reservedBlocks++
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
	return s.writeDirect(p)
}

// minRateWhenFull returns the minimum rate while no memory can be reserved: the same rate over a
// window no longer than a block takes at that rate. The server waits for the caller meanwhile
// and must not be blocked by a slow one for a full window.
func (s *sendBuffer) minRateWhenFull() MinRate {
	p := s.minRate
	if p.Rate > 0 {
		p.Window = min(p.Window, blockBytes*time.Second/time.Duration(p.Rate))
	}
	return p
}

// waitForBlock waits until a block was written and disconnects the caller if that takes longer
// than the minimum rate allows. The caller must hold s.mu.
func (s *sendBuffer) waitForBlock() {
	before, waiting := s.writtenBlocks, true
	w := s.newWindow(s.minRateWhenFull())
	var timer *time.Timer
	timer = time.AfterFunc(w.length, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !waiting || s.writtenBlocks != before || s.err != nil {
			return
		}
		if s.restartIfFrozen(&w) || s.restartIfAcknowledged(&w) {
			timer.Reset(w.length)
			return
		}
		s.err = errTooSlow
		s.onSlow()
		_ = s.conn.Close() // This ends the blocked write.
	})
	s.changed.Wait()
	waiting = false
	timer.Stop()
}

// writeDirect writes p if nothing is buffered and no memory can be reserved for a block. The
// caller must hold s.mu, which is unlocked during the write.
func (s *sendBuffer) writeDirect(p []byte) (int, error) {
	w := s.newWindow(s.minRateWhenFull())
	s.mu.Unlock()
	err := s.writeAtMinRate(p, &w)
	s.mu.Lock()
	if err != nil {
		s.err = err
		return 0, err
	}
	return len(p), nil
}

// startDrain starts the goroutine that writes the blocks unless it is running. The caller must
// hold s.mu.
func (s *sendBuffer) startDrain() {
	if s.draining {
		return
	}
	s.draining = true
	go s.drain()
}

// drain writes blocks until none are left.
func (s *sendBuffer) drain() {
	w := s.newWindow(s.minRate)
	for {
		block := s.nextBlock()
		if block == nil {
			return
		}
		err := s.writeAtMinRate(block, &w)
		s.memory.Release(s.hold, memory.Lag, blockBytes)
		s.blockDone(err)
	}
}

// nextBlock returns the next block to write, or nil if there is none.
func (s *sendBuffer) nextBlock() []byte {
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

// blockDone records that a block was written. After an error, the remaining blocks are dropped.
func (s *sendBuffer) blockDone(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedBlocks--
	s.writtenBlocks++
	if err != nil {
		if s.err == nil {
			s.err = err
		}
		s.memory.Release(s.hold, memory.Lag, len(s.blocks)*blockBytes)
		s.reservedBlocks -= len(s.blocks)
		s.blocks = nil
	}
	s.changed.Broadcast()
}

// newWindow starts the first window of a minimum rate. The caller may not have read yet what its
// kernel has acknowledged, so it begins with a surplus.
func (s *sendBuffer) newWindow(p MinRate) rateWindow {
	var w rateWindow
	queued, _ := s.socket.queued() // Measured before the window starts, as this goroutine may have to wait for a processor.
	w.start(p, time.Now())
	w.queued, w.surplus = queued, maxSurplusWindows*w.minBytes
	return w
}

// restartIfTransferred starts the next window if the kernel took the minimum in this one, and
// reports whether it did.
func (s *sendBuffer) restartIfTransferred(w *rateWindow) bool {
	if w.transferred < w.minBytes {
		return false
	}
	queued, known := s.socket.queued()
	if known {
		w.addSurplus(max(0, w.queued+w.transferred-queued-w.minBytes))
	}
	w.transferred, w.queued, w.end = 0, queued, time.Now().Add(w.length)
	return true
}

// restartIfAcknowledged starts the next window if the caller has acknowledged the minimum in this
// one, or its surplus makes up for the rest, and reports whether it did. A kernel frees its send
// buffer in steps of a third of its size, up to 40 KB, for which a caller well above the minimum
// rate may need longer than a window.
func (s *sendBuffer) restartIfAcknowledged(w *rateWindow) bool {
	queued, known := s.socket.queued()
	acknowledged := w.queued + w.transferred - queued
	if !known || acknowledged+w.surplus < w.minBytes {
		return false
	}
	w.addSurplus(acknowledged - w.minBytes)
	w.transferred, w.queued, w.end = 0, queued, time.Now().Add(w.length)
	return true
}

// restartIfFrozen restarts a window in which the process was suspended, and reports whether it
// was.
func (s *sendBuffer) restartIfFrozen(w *rateWindow) bool {
	if !w.restartIfFrozen(time.Now()) {
		return false
	}
	w.queued, _ = s.socket.queued()
	return true
}

// writeAtMinRate writes p and fails if a window ends below the minimum rate.
func (s *sendBuffer) writeAtMinRate(p []byte, w *rateWindow) error {
	for len(p) > 0 {
		end, last := w.end, !s.deadline.IsZero() && s.deadline.Before(w.end)
		if last {
			end = s.deadline
		}
		if err := s.conn.SetWriteDeadline(end); err != nil {
			return err
		}
		n, err := s.conn.Write(p)
		p = p[n:]
		w.transferred += n
		next := s.restartIfTransferred(w)
		if err != nil && !isTimeout(err) {
			return err
		}
		if err != nil && last {
			return errDeadlinePassed
		}
		if err != nil && !next && !s.restartIfFrozen(w) && !s.restartIfAcknowledged(w) {
			s.onSlow()
			return errTooSlow
		}
	}
	return s.conn.SetWriteDeadline(time.Time{}) // Nonblocking writes check the deadline too.
}

// awaitWritten returns when everything is written, or nothing more will be.
func (s *sendBuffer) awaitWritten() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.draining {
		s.changed.Wait()
	}
	return s.err
}
