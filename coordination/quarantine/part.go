package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// writingMargin is how long a server has to go on after the first event of an answer before the
	// parts of that prompt count as harmless: a part may crash its server as it begins to write.
	writingMargin = 300 * time.Millisecond
	// startedMargin is the same for the parts to count as probably harmless: requests with such parts
	// are tried first.
	startedMargin = 20 * time.Millisecond
	// maxParts bounds the parts of one prompt that are looked at.
	maxParts = 64
)

// PartOrigin says where requests come from. A part is suspected, held and cleared for each origin,
// so that no caller can get a part of another one held, and a part that only one route's requests
// make harmful is held on that route alone.
type PartOrigin struct {
	Caller string // Caller is as in [Request].
	Route  string
	Model  string
}

// Fingerprints returns the fingerprints of parts of a prompt, each part once. The first half of a
// content hash identifies the part for its model, the second half the origin.
func (o *PartOrigin) Fingerprints(parts []protocol.PromptPart) []protocol.Fingerprint {
	if len(parts) == 0 {
		return nil
	}
	origin := hash64(o.Caller, o.Route)
	list := make([]protocol.Fingerprint, 0, min(len(parts), maxParts))
	for _, p := range parts[:min(len(parts), maxParts)] {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], p.ID)
		f := protocol.Fingerprint{Content: [2]uint64{hash64(o.Model, string(id[:])), origin}}
		if !slices.Contains(list, f) {
			list = append(list, f)
		}
	}
	return list
}

// hash64 returns the first half of a cryptographic hash of texts.
func hash64(texts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(texts, separator)))
	return binary.BigEndian.Uint64(sum[:])
}

// HasProvenParts reports whether an answer shows that no part of its prompt crashes its server, from
// the times of its first and its latest event.
func HasProvenParts(first, latest time.Time) bool {
	return !first.IsZero() && latest.Sub(first) >= writingMargin
}

// HasStartedParts reports whether an answer shows that its server has begun to write on all parts of
// its prompt, and went on for a moment.
func HasStartedParts(first, latest time.Time) bool {
	return !first.IsZero() && latest.Sub(first) >= startedMargin
}

// suspectRuns returns the runs whose parts may have crashed their server: those whose answer had
// begun, otherwise those that had got nothing, a trial before others. Those that had got events began
// before.
func suspectRuns(runs []BrokenRun) []BrokenRun {
	for _, isSuspect := range []func(BrokenRun) bool{
		func(r BrokenRun) bool { return r.Progress == Begun },
		func(r BrokenRun) bool { return r.Progress == Waiting && r.Trial },
		func(r BrokenRun) bool { return r.Progress == Waiting },
	} {
		list := slices.DeleteFunc(slices.Clone(runs), func(r BrokenRun) bool { return !isSuspect(r) })
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// ObservedParts returns the observation of the parts that may have crashed a server. A part whose
// answer had begun has the time since then as its age, others have 0.
func ObservedParts(runs []BrokenRun, broke time.Time) []protocol.ObservedRun {
	var list []protocol.ObservedRun
	seen := map[protocol.Fingerprint]bool{}
	for _, r := range suspectRuns(runs) {
		var age time.Duration
		if r.Progress == Begun {
			age = max(1, broke.Sub(r.Head))
		}
		for _, f := range r.PartFingerprints {
			if !seen[f] {
				seen[f] = true
				list = append(list, protocol.ObservedRun{Fingerprint: f, Age: age})
			}
		}
	}
	return list
}
