package control

import (
	"context"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// acceptedDocument is a committed document in its original encoding.
type acceptedDocument struct {
	number uint64
	data   []byte
}

// Install stores an accepted document and returns immediately: it is called by the loop of
// the replica, which also sends the heartbeats, and compressing and parsing a document with
// some hundred routes takes longer than the heartbeat interval. Users of the document call
// prepareDocument first.
func (u *Uplink) Install(number uint64, data []byte) {
	if d := u.accepted.Load(); d != nil && d.number >= number {
		return
	}
	u.accepted.Store(&acceptedDocument{number: number, data: data})
	select {
	case u.documentAccepted <- struct{}{}:
	default: // Preparation is already pending.
	}
}

// Run prepares accepted documents before the first request needs them, until ctx ends.
func (u *Uplink) Run(ctx context.Context) error {
	for {
		select {
		case <-u.documentAccepted:
			u.prepareDocument()
		case <-ctx.Done():
			return nil
		}
	}
}

// prepareDocument parses and compresses the newest accepted document, so that answers
// contain it. If Vouches succeeded before the call, the document is at least as new as the
// one that was confirmed.
func (u *Uplink) prepareDocument() {
	d := u.accepted.Load()
	if d == nil || d.number == u.preparedNumber.Load() {
		return
	}
	u.prepareMu.Lock()
	defer u.prepareMu.Unlock()
	d = u.accepted.Load()
	if d.number == u.preparedNumber.Load() {
		return // Another request has prepared it meanwhile.
	}
	packed, catalog, err := u.readDocument(d)
	if err != nil {
		u.log.Error().Err(err).Uint64("number", d.number).Msg("an accepted document cannot be read")
	} else {
		u.setDocument(d.number, packed, catalog)
		u.log.Info().Uint64("number", d.number).Int("bytes", len(d.data)).Msg("document accepted")
	}
	u.preparedNumber.Store(d.number)
}

func (u *Uplink) readDocument(d *acceptedDocument) (packed []byte, catalog *protocol.Catalog, err error) {
	if packed, err = Pack(d.data); err != nil {
		return nil, nil, err
	}
	catalog, err = u.parse(d.number, d.data)
	return packed, catalog, err
}

// setDocument sets the document that answers contain.
func (u *Uplink) setDocument(number uint64, packed []byte, catalog *protocol.Catalog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if number < u.number {
		return // A relay received a newer one from the leader.
	}
	u.number, u.packed, u.catalog = number, packed, catalog
	u.quotas.Configure(catalog.Workspaces, clock.Now())
	u.versions.Routes(catalog.Routes, clock.Now())
}

// document returns the newest prepared document, compressed.
func (u *Uplink) document() (number uint64, packed []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.number, u.packed
}

// setPackedDocument stores a compressed document that the leader sent to this instance in
// its role as a relay.
func (u *Uplink) setPackedDocument(number uint64, packed []byte) error {
	data, err := Unpack(packed)
	if err != nil {
		return err
	}
	catalog, err := u.parse(number, data)
	if err != nil {
		return err
	}
	u.setDocument(number, packed, catalog)
	return nil
}
