package quarantine

import "time"

// successSlots is the size of the cache, at 16 bytes each. A gateway has up to some 200
// requests per second, of which the last 10 s matter.
const successSlots = 2048

// SuccessCache holds when requests last succeeded at one gateway, by their quick hash. It is
// direct-mapped: an entry may overwrite that of another request.
type SuccessCache struct {
	epoch time.Time
	slots []success
}

// success is an entry of the cache.
type success struct {
	quick uint64
	at    time.Duration // at is the time since epoch.
}

// NewSuccessCache returns an empty cache.
func NewSuccessCache(now time.Time) *SuccessCache {
	return &SuccessCache{epoch: now, slots: make([]success, successSlots)}
}

// Add records a success.
func (c *SuccessCache) Add(quick uint64, now time.Time) {
	c.slots[quick%successSlots] = success{quick: quick, at: now.Sub(c.epoch)}
}

// Last returns when a request last succeeded, and false if that is not known.
func (c *SuccessCache) Last(quick uint64) (time.Time, bool) {
	slot := c.slots[quick%successSlots]
	return c.epoch.Add(slot.at), slot.quick == quick
}

// Age returns how long ago a request last succeeded, and false if no success within
// trustTime is known.
func (c *SuccessCache) Age(quick uint64, now time.Time) (time.Duration, bool) {
	slot := c.slots[quick%successSlots]
	age := now.Sub(c.epoch) - slot.at
	return max(1, age), slot.quick == quick && age <= trustTime
}
