package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// brittleServers are the servers of a cluster whose room is limited. One that falls over or ends is
// replaced by another one under a new id, as on the platform, where each start has an id of its own.
type brittleServers struct {
	cluster  *Cluster
	slots    int           // slots is the number of requests that each server runs at once.
	downTime time.Duration // downTime is the time from the end of a server to the start of its replacement.

	mu           sync.Mutex // mu guards the fields below.
	room         int        // room is the number of requests that each server takes.
	rejections   int        // rejections is the number of rejections a second that servers announce; notBrittle for none.
	live         []*standin.Backend
	proxies      map[*standin.Backend]*Proxy
	ended        []*standin.Backend
	started      int // started counts the servers that were started later.
	stopped      bool
	replacements sync.WaitGroup
}

// newBrittleServers takes over the servers of a cluster.
func newBrittleServers(c *Cluster, slots int, downTime time.Duration) *brittleServers {
	s := &brittleServers{cluster: c, slots: slots, downTime: downTime, room: unlimitedRoom, rejections: notBrittle, proxies: map[*standin.Backend]*Proxy{}}
	for i, b := range c.Backends {
		s.proxies[b] = c.backendProxies[i]
		s.adopt(b)
	}
	return s
}

// adopt makes a server one of the live ones. The caller holds s.mu or is the only user.
func (s *brittleServers) adopt(b *standin.Backend) {
	b.SetBrittle(s.slots, s.room, s.rejections, s.downTime)
	b.SetOnFall(func() { s.end(b) })
	s.live = append(s.live, b)
}

// set sets the room of all servers, and how many rejections they announce that they bear.
func (s *brittleServers) set(room, rejections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room, s.rejections = room, rejections
	for _, b := range s.live {
		b.SetBrittle(s.slots, room, rejections, s.downTime)
	}
}

// servers returns the servers that run.
func (s *brittleServers) servers() []*standin.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.live)
}

// end ends a server with all that runs there, and has it replaced.
func (s *brittleServers) end(b *standin.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.live, b)
	if i < 0 {
		return
	}
	s.live = slices.Delete(s.live, i, i+1)
	s.ended = append(s.ended, b)
	s.proxies[b].Close()
	if !s.stopped {
		s.replacements.Go(func() { s.replace(b) })
	}
}

// replace takes a server that has ended off the list, and starts another one.
func (s *brittleServers) replace(b *standin.Backend) {
	time.Sleep(crashedListedFor)
	s.cluster.API.Remove(b)
	b.Close()
	time.Sleep(s.downTime - crashedListedFor)
	s.add(b.Zone, b.Pause)
}

// add starts a server.
func (s *brittleServers) add(zone string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	b, err := standin.NewBackend(fmt.Sprintf("brittle-%d", s.started), standin.Service, zone, s.cluster.Record)
	if err != nil {
		s.cluster.Record.Breach("no server could be started: " + err.Error())
		return
	}
	p, err := NewProxy("127.0.0.1:0", b.Address)
	if err != nil {
		s.cluster.Record.Breach("no proxy could be started: " + err.Error())
		return
	}
	b.Address, b.Version, b.Pause, b.UnreadTimeout = p.Address(), firstVersion, pause, unreadTimeout
	s.proxies[b] = p
	s.adopt(b)
	s.cluster.trackBackend(b, p)
	s.cluster.API.Add(b)
}

// stop ends the replacement of servers.
func (s *brittleServers) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.replacements.Wait()
}

// falls returns how often servers have fallen over.
func (s *brittleServers) falls() (n int) {
	for _, r := range s.rooms() {
		n += len(r.Falls)
	}
	return n
}

// rejected returns how many requests servers have rejected for want of room.
func (s *brittleServers) rejected() (n int) {
	for _, r := range s.rooms() {
		n += r.Rejected
	}
	return n
}

// rooms returns what became of the room of all servers that run or have ended.
func (s *brittleServers) rooms() (list []standin.Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range slices.Concat(s.live, s.ended) {
		list = append(list, b.Room())
	}
	return list
}
