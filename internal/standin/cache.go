package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

// prefixCache keeps the prompts seen last, up to a number of tokens. Two
// prompts share what they have in common from the start, in whole blocks.
type prefixCache struct {
	limit int
	used  int
	order *list.List // order has the prompt used last in front.
	rows  map[string]*list.Element
	event func(protocol.CacheEvent)
}

type cachedPrompt struct {
	prompt string
	tokens int
}

// blockBytes is the size of a block of a prompt, the unit of sharing.
const blockBytes = 64

func newPrefixCache(limit int, event func(protocol.CacheEvent)) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), rows: map[string]*list.Element{}, event: event}
}

// lookup returns how many of a prompt's tokens are cached.
func (c *prefixCache) lookup(prompt string, tokens int) int {
	best := 0
	for el := c.order.Front(); el != nil; el = el.Next() {
		row := el.Value.(cachedPrompt)
		best = max(best, commonBlocks(row.prompt, prompt))
	}
	if len(prompt) == 0 {
		return 0
	}
	return tokens * min(best, len(prompt)) / len(prompt)
}

// commonBlocks returns the length of the shared start, in whole blocks, or the
// whole length for equal prompts.
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
	if el, ok := c.rows[prompt]; ok {
		c.order.MoveToFront(el)
		return
	}
	c.rows[prompt] = c.order.PushFront(cachedPrompt{prompt: prompt, tokens: tokens})
	c.used += tokens
	c.event(protocol.CacheEvent{Prefix: xxhash.Sum64String(prompt), Tokens: tokens})
	for c.used > c.limit && c.order.Len() > 1 {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	el := c.order.Back()
	row := c.order.Remove(el).(cachedPrompt)
	delete(c.rows, row.prompt)
	c.used -= row.tokens
	c.event(protocol.CacheEvent{Prefix: xxhash.Sum64String(row.prompt), Tokens: row.tokens, Evicted: true})
}
