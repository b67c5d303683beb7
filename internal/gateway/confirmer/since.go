package confirmer

import "github.com/crocusring/crocusring/internal/wire/messenger"

// since is the earliest time of the store's clock, in milliseconds, at which a version of the manifest's row is known
// to have been the newest one. The zero value knows none.
type since struct {
	version      messenger.StoreVersion
	milliseconds int64
}

// note records that a version was the newest one at a time. A time that is not positive, or after latest, says nothing.
func (s *since) note(version messenger.StoreVersion, milliseconds, latest int64) {
	if milliseconds <= 0 || milliseconds > latest {
		return
	}
	isEarlier := version == s.version && milliseconds < s.milliseconds
	if version.IsAfter(s.version) || isEarlier {
		*s = since{version: version, milliseconds: milliseconds}
	}
}

// NoteSince records what a peer tells of since when a version of the row has been the newest one, if that is the applied
// one.
func (c *Confirmer) NoteSince(version messenger.StoreVersion, milliseconds, latest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.applied {
		c.since.note(version, milliseconds, latest)
	}
}

// Since returns the earliest time of the store's clock, in milliseconds, at which a version of the row is known to have
// been the newest one; 0 if none is known.
func (c *Confirmer) Since(version messenger.StoreVersion) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.version != version {
		return 0
	}
	return c.since.milliseconds
}
