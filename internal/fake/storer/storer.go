// Package storer keeps the rows of one table in memory, with the versions and epochs that the platform's
// store gives them, for tests of what relies on conditional writes.
package storer

import (
	"maps"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Store holds rows by key, whatever their table. It is not safe for concurrent use. The zero value is not
// usable; see New.
type Store struct {
	// Epoch is the epoch of all answers.
	Epoch int64
	// Version is the version of the last write.
	Version int64
	Rows    map[string]messenger.Row
	// ChecksEpoch has conditions of another epoch fail. By default only their numbers count.
	ChecksEpoch bool
}

// New returns an empty store in an epoch.
func New(epoch int64) *Store { return &Store{Epoch: epoch, Rows: map[string]messenger.Row{}} }

// Copy is the content of a store at some moment.
type Copy struct {
	Version int64
	Rows    map[string]messenger.Row
}

// Copy returns the content of the store as it is now.
func (s *Store) Copy() Copy { return Copy{Version: s.Version, Rows: maps.Clone(s.Rows)} }

// Restore brings a copy back, in the next epoch.
func (s *Store) Restore(from Copy) {
	s.Epoch++
	s.Version, s.Rows = from.Version, maps.Clone(from.Rows)
}

// Get returns a row; its Version is 0 if it does not exist.
func (s *Store) Get(table, key string) (messenger.Row, error) {
	row := s.Rows[key]
	row.Table, row.Key, row.Epoch = table, key, s.Epoch
	return row, nil
}

// Put writes a row without a condition.
func (s *Store) Put(key string, value []byte) messenger.StoreVersion {
	s.Version++
	s.put(key, value)
	return messenger.StoreVersion{Epoch: s.Epoch, Number: s.Version}
}

// Transact writes all rows with one version if all conditions hold, and returns the version of each. The
// error is transactor.ErrConflict.
func (s *Store) Transact(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
	for _, c := range req.Conditions {
		if s.Rows[c.Key].Version != c.Version || (s.ChecksEpoch && c.Epoch != s.Epoch) {
			return nil, transactor.ErrConflict
		}
	}
	s.Version++
	versions := make([]messenger.StoreVersion, 0, len(req.Writes))
	for _, w := range req.Writes {
		s.put(w.Key, w.Value)
		versions = append(versions, messenger.StoreVersion{Epoch: s.Epoch, Number: s.Version})
	}
	return versions, nil
}

func (s *Store) put(key string, value []byte) {
	s.Rows[key] = messenger.Row{Version: s.Version, Value: value}
}
