package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

// prefixCache is an LRU cache of prompts, bounded by a number of tokens. Two
// prompts share their common prefix, in whole blocks.
type prefixCache struct {
	limit   int
	used    int
	recent  *list.List // recent holds the most recently used prompt first.
	entries map[string]*list.Element
	event   func(protocol.CacheEvent)
}

type cachedPrompt struct {
	prompt string
	tokens int
}

// blockBytes is the size of a block, the unit in which prompts share a prefix.
const blockBytes = 64

func newPrefixCache(limit int, event func(protocol.CacheEvent)) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), entries: map[string]*list.Element{}, event: event}
}

// lookup returns how many of a prompt's tokens are cached.
func (c *prefixCache) lookup(prompt string, tokens int) int {
	best := 0
	for el := c.recent.Front(); el != nil; el = el.Next() {
		row := el.Value.(cachedPrompt)
		best = max(best, commonBlocks(row.prompt, prompt))
	}
	if len(prompt) == 0 {
		return 0
	}
	return tokens * min(best, len(prompt)) / len(prompt)
}

// commonBlocks returns the length in bytes of the common prefix, in whole blocks,
// or the full length for equal prompts.
func commonBlocks(a, b string) int {
	if a == b {
		return len(a)
	}
	n := 0
	for n+blockBytes <= min(len(a), len(b)) && a[n:n+blockBytes] == b[n:n+blockBytes] {
		n += blockBytes
	}
	return n
}

func (c *prefixCache) add(prompt string, tokens int) {
	if el, ok := c.entries[prompt]; ok {
		c.recent.MoveToFront(el)
		return
	}
	c.entries[prompt] = c.recent.PushFront(cachedPrompt{prompt: prompt, tokens: tokens})
	c.used += tokens
	c.event(protocol.CacheEvent{Prefix: xxhash.Sum64String(prompt), Tokens: tokens})
	for c.used > c.limit && c.recent.Len() > 1 {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	el := c.recent.Back()
	row := c.recent.Remove(el).(cachedPrompt)
	delete(c.entries, row.prompt)
	c.used -= row.tokens
	c.event(protocol.CacheEvent{Prefix: xxhash.Sum64String(row.prompt), Tokens: row.tokens, Evicted: true})
}
