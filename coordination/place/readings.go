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
	teller uint64 // teller is the instance that passed it on.
}

const (
	// readingBytes are those of a packed row: the link's key and the server's place in
	// the list.
	readingBytes = 6
	// readingsKept are the rows for gateways that have not asked for a while: some ten
	// seconds of 400 requests a second.
	readingsKept = 4096
	// unlisted is the place of a server that is not listed.
	unlisted = 0xffff
)

// NewReadings returns an empty log.
func NewReadings() *Readings { return &Readings{} }

// Add notes that a server read some links, as an instance tells.
func (r *Readings) Add(teller uint64, server string, keys []uint32) {
	for _, key := range keys {
		row := readingRow{key: linkKey(key), server: server, teller: teller}
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

// List takes the servers by name, in whose order rows are packed from now on.
func (r *Readings) List(order []string) {
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

// Others returns the rows behind a position that other instances than one passed on,
// packed, and the position behind them.
func (r *Readings) Others(position uint64, but uint64) (packed []byte, next uint64) {
	next = r.first + uint64(len(r.rows))
	if position > next {
		position = next // It is of another log.
	}
	for _, row := range r.rows[max(position, r.first)-r.first:] {
		if row.teller != but {
			packed = r.pack(packed, row)
		}
	}
	return packed, next
}

// Unpacked calls a func with each of some packed rows, in whose log the servers stood in
// an order.
func Unpacked(packed []byte, order []string, row func(server string, key uint32)) {
	for ; len(packed) >= readingBytes; packed = packed[readingBytes:] {
		key := binary.LittleEndian.Uint32(packed)
		if i := int(binary.LittleEndian.Uint16(packed[4:])); i < len(order) {
			row(order[i], key)
		}
	}
}

// Told takes packed rows, of a log that packs by the order of a view's servers.
func (h *Holders) Told(v *View, packed []byte, now time.Time) {
	for ; len(packed) >= readingBytes; packed = packed[readingBytes:] {
		key := linkKey(binary.LittleEndian.Uint32(packed))
		if i := int(binary.LittleEndian.Uint16(packed[4:])); v != nil && i < len(v.Servers) {
			h.note(v.Servers[i].ID, key, now)
		}
	}
	h.bound(now)
}
