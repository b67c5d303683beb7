package engineer

import (
	"slices"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	eventStored     = "Stored"
	eventRemoved    = "Removed"
	bytesPerPrefix  = 1 << 20
	prefixLength    = 64 // bytes of the prompt that name a prefix
	mostEvents      = 1024
	eventGapEvery   = 17 // each such event is not published
	firstEventIndex = 1
)

// prefixCache keeps prompt prefixes, the least recently used leaving first.
type prefixCache struct {
	mostBytes int64
	bytes     int64
	entries   []string // least recently used first
	events    []messenger.CacheEvent
	sequence  int64
}

func prefixOf(prompt string) string {
	if len(prompt) > prefixLength {
		return prompt[:prefixLength]
	}
	return prompt
}

func (c *prefixCache) touch(model, prompt string) {
	prefix := prefixOf(prompt)
	if i := slices.Index(c.entries, prefix); i >= 0 {
		c.entries = append(slices.Delete(c.entries, i, i+1), prefix)
		return
	}
	for c.bytes+bytesPerPrefix > c.mostBytes && len(c.entries) > 0 {
		c.publish(eventRemoved, model, c.entries[0])
		c.entries = c.entries[1:]
		c.bytes -= bytesPerPrefix
	}
	c.entries = append(c.entries, prefix)
	c.bytes += bytesPerPrefix
	c.publish(eventStored, model, prefix)
}

// publish appends an event; some are left out, as a real engine loses some.
func (c *prefixCache) publish(kind, model, prefix string) {
	c.sequence++
	if c.sequence%eventGapEvery == 0 {
		return
	}
	c.events = append(c.events, messenger.CacheEvent{Sequence: c.sequence, Kind: kind, Model: model, Prefix: prefix})
	if len(c.events) > mostEvents {
		c.events = c.events[firstEventIndex:]
	}
}

func (c *prefixCache) since(sequence int64) messenger.CacheEvents {
	events := []messenger.CacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence > sequence {
			events = append(events, ev)
		}
	}
	return messenger.CacheEvents{Events: events, Last: c.sequence}
}

func (c *prefixCache) clear() {
	c.bytes = 0
	c.entries = nil
	c.events = nil
}
