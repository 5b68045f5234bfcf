package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
)

// firstContacts records when each server was first listed, and whether it has answered this gateway. What a
// server reports about itself is known from its first answer on, unless another gateway heard it before.
type firstContacts struct {
	mu     sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	listed map[string]time.Time
	heard  map[string]bool
}

// update records the servers of a view and removes those that are no longer listed.
func (f *firstContacts) update(view *place.View, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed == nil {
		f.listed, f.heard = map[string]time.Time{}, map[string]bool{}
	}
	for i := range view.Servers {
		if _, known := f.listed[view.Servers[i].ID]; !known {
			f.listed[view.Servers[i].ID] = now
		}
	}
	maps.DeleteFunc(f.listed, func(server string, _ time.Time) bool { return view.Find(server) == nil })
	maps.DeleteFunc(f.heard, func(server string, _ bool) bool { return view.Find(server) == nil })
}

// recordAnswer records that a server has answered, and reports whether it had before.
func (f *firstContacts) recordAnswer(server string) (before bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before = f.heard[server]
	if f.heard != nil {
		f.heard[server] = true
	}
	return before
}

// get returns how long a server has been listed, and whether it has answered this gateway.
func (f *firstContacts) get(server string, now time.Time) (listedFor time.Duration, heard bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.listed[server]; ok {
		listedFor = now.Sub(at)
	}
	return listedFor, f.heard[server]
}

// recordFirstContact counts and logs a request to a server that has not answered this gateway yet.
func (x *exchange) recordFirstContact(server string) {
	listedFor, heard := x.g.contacts.get(server, clock.Now())
	if heard {
		return
	}
	limit := x.g.limitOf(server)
	x.g.meters.firstContacts.Inc(1)
	x.log.Info().Str("server", server).Dur("listed", listedFor).Bool("brittle", limit.Brittle).Int("max_rejections", limit.MaxRejections).
		Bool("ticket", x.ticket != nil).Msg("request to a server that has not answered this gateway yet")
}
