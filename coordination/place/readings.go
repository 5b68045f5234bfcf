package place

import (
	"encoding/binary"
	"time"
)

// Readings is the leader's log of which servers were given which links to read. It is for
// the short prompts, which each gateway places by itself: each gateway is told what it has
// not heard of yet, so that a server can be told to copy the parts that another one
// read for another gateway. With 65 gateways one alone knew of a holder for 0.55 of the
// tokens of first parts that were read again, and for 0.05 of those of second parts
// (worked out from the log of a calm day).
type Readings struct {
	first  uint64 // first is the position of the first row that is kept.
	rows   []readingRow
	packed []byte // packed are the rows as gateways with the present list read them.
	index  map[string]uint16
}

type readingRow struct {
	key    linkKey
	server string
	from   uint64 // from is the incarnation of the instance that passed it on.
}

const (
	// keyBytes and placeBytes are those of a link's key and of the server's place in the
	// list, which make a packed row.
	keyBytes     = 4
	placeBytes   = 2
	readingBytes = keyBytes + placeBytes
	// readingsKept are the rows for gateways that have not asked for a while: some ten
	// seconds of 400 requests a second.
	readingsKept = 4096
	// unlisted is the place of a server that is not listed.
	unlisted = 0xffff
)

// NewReadings returns an empty log.
func NewReadings() *Readings { return &Readings{} }

// Add notes that a server read some links, as the instance of an incarnation tells.
func (r *Readings) Add(from uint64, server string, keys []uint32) {
	for _, key := range keys {
		row := readingRow{key: linkKey(key), server: server, from: from}
		r.rows = append(r.rows, row)
		r.packed = r.pack(r.packed, row)
	}
	if extra := len(r.rows) - readingsKept; extra > 0 {
		// Half of the rows go at once, so that few copies are made.
		extra += readingsKept / 2
		r.first += uint64(extra)
		r.rows = append([]readingRow(nil), r.rows[extra:]...)
		r.packed = append([]byte(nil), r.packed[extra*readingBytes:]...)
	}
}

// SetServers takes the servers by name, in whose order rows are packed from now on.
func (r *Readings) SetServers(order []string) {
	r.index = make(map[string]uint16, len(order))
	for i, id := range order {
		if i < unlisted {
			r.index[id] = uint16(i)
		}
	}
	r.packed = make([]byte, 0, len(r.rows)*readingBytes)
	for _, row := range r.rows {
		r.packed = r.pack(r.packed, row)
	}
}

// pack appends a row, packed by the present list.
func (r *Readings) pack(to []byte, row readingRow) []byte {
	at, ok := r.index[row.server]
	if !ok {
		at = unlisted
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(row.key))
	return binary.LittleEndian.AppendUint16(to, at)
}

// Since returns the rows behind a position, packed, and the position behind them. What
// is returned stays as it is.
func (r *Readings) Since(position uint64) (packed []byte, next uint64) {
	next = r.first + uint64(len(r.rows))
	if position > next {
		position = next // It is of another log.
	}
	from := max(position, r.first) - r.first
	return r.packed[from*readingBytes : len(r.packed) : len(r.packed)], next
}

// SinceExcept returns the rows behind a position that other instances than one (by its
// incarnation) passed on, packed, and the position behind them.
func (r *Readings) SinceExcept(position, except uint64) (packed []byte, next uint64) {
	next = r.first + uint64(len(r.rows))
	if position > next {
		position = next // It is of another log.
	}
	for _, row := range r.rows[max(position, r.first)-r.first:] {
		if row.from != except {
			packed = r.pack(packed, row)
		}
	}
	return packed, next
}

// EachReading calls row with the server and the link of each of some packed rows. The order
// is that of the list by which the rows were packed; rows of servers that are not in it
// are left out.
func EachReading(packed []byte, order []string, row func(server string, key uint32)) {
	eachPacked(packed, len(order), func(i int, key uint32) { row(order[i], key) })
}

// eachPacked calls row with the server's place in the list and the link of each packed
// row whose place is less than a number of servers.
func eachPacked(packed []byte, servers int, row func(i int, key uint32)) {
	for ; len(packed) >= readingBytes; packed = packed[readingBytes:] {
		key := binary.LittleEndian.Uint32(packed)
		if i := int(binary.LittleEndian.Uint16(packed[keyBytes:])); i < servers {
			row(i, key)
		}
	}
}

// RecordPacked notes the rows that the leader or a relay tells a gateway, packed by the order of
// a view's servers. Without a view they are dropped.
func (h *Holders) RecordPacked(v *View, packed []byte, now time.Time) {
	if v != nil {
		eachPacked(packed, len(v.Servers), func(i int, key uint32) { h.note(v.Servers[i].ID, linkKey(key), now) })
	}
	h.bound(now)
}
