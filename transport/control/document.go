package control

import (
	"context"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// document is one that was accepted, as it was accepted.
type document struct {
	number uint64
	data   []byte
}

// Install takes an accepted document. It returns at once, as the replica's loop
// calls it, which sends the heartbeats: packing and reading a document of some
// hundred routes takes longer than the pause between two of them. Whoever needs
// the document has it made ready first.
func (u *Uplink) Install(number uint64, data []byte) {
	if d := u.accepted.Load(); d != nil && d.number >= number {
		return
	}
	u.accepted.Store(&document{number: number, data: data})
	select {
	case u.arrived <- struct{}{}:
	default: // It is to be made ready already.
	}
}

// Run makes accepted documents ready ahead of the first question for them, until
// ctx ends.
func (u *Uplink) Run(ctx context.Context) error {
	for {
		select {
		case <-u.arrived:
			u.ready()
		case <-ctx.Done():
			return nil
		}
	}
}

// ready makes the newest accepted document the one that answers hold. An instance
// that vouched before the call does so for that one.
func (u *Uplink) ready() {
	d := u.accepted.Load()
	if d == nil || d.number == u.readied.Load() {
		return
	}
	u.prepare.Lock()
	defer u.prepare.Unlock()
	d = u.accepted.Load()
	if d.number == u.readied.Load() {
		return // Another question had it made ready meanwhile.
	}
	packed, catalog, err := u.read(d)
	if err != nil {
		u.log.Error().Err(err).Uint64("number", d.number).Msg("an accepted document cannot be read")
	} else {
		u.hold(d.number, packed, catalog)
		u.log.Info().Uint64("number", d.number).Int("bytes", len(d.data)).Msg("document accepted")
	}
	u.readied.Store(d.number)
}

func (u *Uplink) read(d *document) (packed []byte, catalog *protocol.Catalog, err error) {
	if packed, err = Pack(d.data); err != nil {
		return nil, nil, err
	}
	catalog, err = u.parse(d.number, d.data)
	return packed, catalog, err
}

// hold puts a document into the answers.
func (u *Uplink) hold(number uint64, packed []byte, catalog *protocol.Catalog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if number < u.number {
		return // A relay got a newer one from the leader.
	}
	u.number, u.packed, u.catalog = number, packed, catalog
	u.quotas.Configure(catalog.Workspaces, clock.Now())
}

// document returns the newest document that is ready, packed.
func (u *Uplink) document() (number uint64, packed []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.number, u.packed
}

// learn takes a packed document that the leader sent to this instance as a relay.
func (u *Uplink) learn(number uint64, packed []byte) error {
	data, err := Unpack(packed)
	if err != nil {
		return err
	}
	catalog, err := u.parse(number, data)
	if err != nil {
		return err
	}
	u.hold(number, packed, catalog)
	return nil
}
