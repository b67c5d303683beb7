package engineer

import (
	"slices"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	eventStored              = "Stored"
	eventRemoved             = "Removed"
	bytesPerPrefix           = 1 << 20
	prefixBytes              = 64 // length of the part of a prompt that identifies its prefix
	maxEvents                = 1024
	unpublishedEventInterval = 17 // events whose sequence number is a multiple of this are not published
	evictedEvents            = 1  // oldest events dropped when there are more than maxEvents
)

// prefixCache is a bounded cache of prompt prefixes that evicts the least recently used
// first and records its changes as events.
type prefixCache struct {
	maxBytes int64
	bytes    int64
	entries  []string // least recently used first
	events   []messenger.CacheEvent
	sequence int64
}

func prefixOf(prompt string) string {
	if len(prompt) > prefixBytes {
		return prompt[:prefixBytes]
	}
	return prompt
}

// use marks the prefix of a prompt as the most recently used. It adds a prefix that is not
// cached, after evicting others if there is no room.
func (c *prefixCache) use(model, prompt string) {
	prefix := prefixOf(prompt)
	if i := slices.Index(c.entries, prefix); i >= 0 {
		c.entries = append(slices.Delete(c.entries, i, i+1), prefix)
		return
	}
	for c.bytes+bytesPerPrefix > c.maxBytes && len(c.entries) > 0 {
		c.publish(eventRemoved, model, c.entries[0])
		c.entries = c.entries[1:]
		c.bytes -= bytesPerPrefix
	}
	c.entries = append(c.entries, prefix)
	c.bytes += bytesPerPrefix
	c.publish(eventStored, model, prefix)
}

// publish records an event. It omits some, as a real engine loses some. Beyond maxEvents
// it drops the oldest.
func (c *prefixCache) publish(kind, model, prefix string) {
	c.sequence++
	if c.sequence%unpublishedEventInterval == 0 {
		return
	}
	c.events = append(c.events, messenger.CacheEvent{Sequence: c.sequence, Kind: kind, Model: model, Prefix: prefix})
	if len(c.events) > maxEvents {
		c.events = c.events[evictedEvents:]
	}
}

// since returns the recorded events after a sequence number.
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
