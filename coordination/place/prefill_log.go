package place

import (
	"encoding/binary"
	"time"
)

// PrefillLog is the leader's log of which links were sent to which servers for prefill. It
// serves short prompts, which each gateway places by itself: each gateway gets the rows
// that it has not seen, so that a server can copy the parts that another server prefilled
// for another gateway. Without the log, each of 65 gateways knew a holder for 0.55 of
// the tokens of first parts that were prefilled again, and for 0.05 of those of second parts.
type PrefillLog struct {
	first  uint64 // first is the position of the first row kept.
	rows   []prefillRow
	packed []byte // packed holds the rows encoded for gateways that have the current server list.
	index  map[string]uint16
}

type prefillRow struct {
	key    linkKey
	server string
	source uint64 // source is the incarnation of the instance that forwarded the row.
}

const (
	// A packed row is a 4-byte link key, followed by a 2-byte index into the server list.
	keyBytes     = 4
	indexBytes   = 2
	prefillBytes = keyBytes + indexBytes
	// maxPrefills is how many rows are kept for gateways that have not polled for a while:
	// about ten seconds of 400 requests a second.
	maxPrefills = 4096
	// unlisted is the index of a server that is not in the list.
	unlisted = 0xffff
)

// NewPrefillLog returns an empty log.
func NewPrefillLog() *PrefillLog { return &PrefillLog{} }

// Add records that a server prefilled links, as forwarded by the instance with the given
// incarnation.
func (l *PrefillLog) Add(from uint64, server string, keys []uint32) {
	for _, key := range keys {
		row := prefillRow{key: linkKey(key), server: server, source: from}
		l.rows = append(l.rows, row)
		l.packed = l.pack(l.packed, row)
	}
	if extra := len(l.rows) - maxPrefills; extra > 0 {
		// Half of the rows are dropped at once, so that the slices are rarely reallocated.
		extra += maxPrefills / 2
		l.first += uint64(extra)
		l.rows = append([]prefillRow(nil), l.rows[extra:]...)
		l.packed = append([]byte(nil), l.packed[extra*prefillBytes:]...)
	}
}

// SetServers sets the server list in whose order rows are packed from now on.
func (l *PrefillLog) SetServers(order []string) {
	l.index = make(map[string]uint16, len(order))
	for i, id := range order {
		if i < unlisted {
			l.index[id] = uint16(i)
		}
	}
	l.packed = make([]byte, 0, len(l.rows)*prefillBytes)
	for _, row := range l.rows {
		l.packed = l.pack(l.packed, row)
	}
}

// pack appends a row, packed with the current server list.
func (l *PrefillLog) pack(to []byte, row prefillRow) []byte {
	at, ok := l.index[row.server]
	if !ok {
		at = unlisted
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(row.key))
	return binary.LittleEndian.AppendUint16(to, at)
}

// Since returns the packed rows from a position on, and the position after them. The
// returned slice is never modified.
func (l *PrefillLog) Since(position uint64) (packed []byte, next uint64) {
	next = l.first + uint64(len(l.rows))
	if position > next {
		position = next // The position belongs to another log.
	}
	from := max(position, l.first) - l.first
	return l.packed[from*prefillBytes : len(l.packed) : len(l.packed)], next
}

// SinceExcept returns the packed rows from a position on that were not forwarded by the
// instance with the given incarnation, and the position after them.
func (l *PrefillLog) SinceExcept(position, except uint64) (packed []byte, next uint64) {
	next = l.first + uint64(len(l.rows))
	if position > next {
		position = next // The position belongs to another log.
	}
	for _, row := range l.rows[max(position, l.first)-l.first:] {
		if row.source != except {
			packed = l.pack(packed, row)
		}
	}
	return packed, next
}

// EachPrefill calls row with the server and the link key of each packed row. The order must
// be the server list with which the rows were packed; rows of servers that are not in it
// are skipped.
func EachPrefill(packed []byte, order []string, row func(server string, key uint32)) {
	eachPacked(packed, len(order), func(i int, key uint32) { row(order[i], key) })
}

// eachPacked calls row with the server index and the link key of each packed row whose
// index is below servers.
func eachPacked(packed []byte, servers int, row func(i int, key uint32)) {
	for ; len(packed) >= prefillBytes; packed = packed[prefillBytes:] {
		key := binary.LittleEndian.Uint32(packed)
		if i := int(binary.LittleEndian.Uint16(packed[keyBytes:])); i < servers {
			row(i, key)
		}
	}
}

// RecordPacked records the rows that a gateway receives from the leader or a relay, packed
// in the order of the view's servers. Without a view they are dropped.
func (h *Holders) RecordPacked(v *View, packed []byte, now time.Time) {
	if v != nil {
		eachPacked(packed, len(v.Servers), func(i int, key uint32) { h.record(v.Servers[i].ID, linkKey(key), now) })
	}
	h.enforceLimit(now)
}
