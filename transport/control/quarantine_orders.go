package control

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// ErrNotHeld is returned for a fingerprint that is not held in quarantine.
var ErrNotHeld = eris.New("not held in quarantine")

// QuarantineStore is the part of the replicated log that orders of the quarantine use.
type QuarantineStore interface {
	// ReleaseQuarantined releases requests or parts of prompts. It may have done so if it fails.
	ReleaseQuarantined(ctx context.Context, list []protocol.Fingerprint) error
}

// QuarantineOrders lists and releases what is held in quarantine.
type QuarantineOrders struct {
	store QuarantineStore
	held  func() []protocol.Quarantined
}

// NewQuarantineOrders returns orders on a store; held returns what this instance knows to be held.
func NewQuarantineOrders(s QuarantineStore, held func() []protocol.Quarantined) *QuarantineOrders {
	return &QuarantineOrders{store: s, held: held}
}

// HeldEntry is a held request or part of prompts.
type HeldEntry struct {
	Fingerprint string `json:"fingerprint"`
	Kind        string `json:"kind"`          // Kind is "request" or "part".
	Servers     int    `json:"servers"`       // Servers is the number of servers that crashed.
	SinceMS     int64  `json:"since_ms"`      // SinceMS is when it was held, in ms since 1970; 0 if unknown.
	Trials      int    `json:"trials"`        // Trials is how often a trial was allowed.
	Gateway     string `json:"gateway"`       // Gateway is the one that may make the latest trial; empty before the first.
	NextTrialMS int64  `json:"next_trial_ms"` // NextTrialMS is when the next trial is due, in ms since 1970.
}

// QuarantineList is the response to GET /v1/quarantine.
type QuarantineList struct {
	Held []HeldEntry `json:"held"`
}

// List returns what is held, in the order in which it changed last.
func (o *QuarantineOrders) List() QuarantineList {
	list := QuarantineList{Held: []HeldEntry{}}
	for _, q := range o.held() {
		kind := "request"
		if q.IsPart() {
			kind = "part"
		}
		list.Held = append(list.Held, HeldEntry{Fingerprint: q.String(), Kind: kind, Servers: q.Servers, SinceMS: q.Since, Trials: q.Trials, Gateway: q.Trial, NextTrialMS: q.Until})
	}
	return list
}

// Release releases the request or part with a fingerprint as it is shown in lists and logs.
func (o *QuarantineOrders) Release(ctx context.Context, fingerprint string) error {
	for _, q := range o.held() {
		if q.String() == fingerprint {
			return o.store.ReleaseQuarantined(ctx, []protocol.Fingerprint{q.Fingerprint})
		}
	}
	return eris.Wrapf(ErrNotHeld, "fingerprint %q", fingerprint)
}
