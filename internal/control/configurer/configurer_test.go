package configurer

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// testStore is the table service of the fake platform without a network. Its fields
// inject failures; they are set before the store is used.
type testStore struct {
	platform *platformer.Platform

	mu    sync.Mutex
	reads int
	// failRead makes a read of a table fail.
	failRead func(table string) bool
	// answer replaces the answer of an executed transaction.
	answer func(error) error
	// before is called before each transaction.
	before func()
}

func newTestStore() *testStore {
	return &testStore{
		platform: platformer.New(), failRead: func(string) bool { return false },
		answer: func(err error) error { return err }, before: func() {},
	}
}

func (s *testStore) scan(table, prefix string) ([]messenger.Row, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if s.failRead(table) {
		return nil, transactor.ErrUnavailable
	}
	rows := []messenger.Row{}
	for _, row := range s.platform.Rows(table) {
		if len(row.Key) >= len(prefix) && row.Key[:len(prefix)] == prefix {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (s *testStore) get(table, key string) (messenger.Row, error) {
	rows, err := s.scan(table, key)
	for _, row := range rows {
		if row.Key == key {
			return row, err
		}
	}
	return messenger.Row{}, err
}

func (s *testStore) transact(req messenger.TransactRequest) error {
	s.before()
	var err error
	if answer := s.platform.Transact(req); !answer.Committed {
		err = &transactor.ConflictError{Rows: answer.Failed}
	}
	return s.answer(err)
}

func (s *testStore) configurer() *Configurer {
	c := New(transactor.New("http://127.0.0.1:1", nil), NewTree())
	c.get, c.scan, c.transact = s.get, s.scan, s.transact
	var clock atomic.Int64
	c.now = func() time.Time { return time.Unix(0, clock.Load()) }
	c.sleep = func(d time.Duration) { clock.Add(int64(d)) }
	return c
}

func modelChange(name string, version int64, bytes int) messenger.SettingChange {
	value := fmt.Sprintf(`{"Version":"v1","Bytes":%d,"Copies":1,"MaximumCopies":0}`, bytes)
	return messenger.SettingChange{Path: "/platform/models/" + name, Version: version, Value: json.RawMessage(value)}
}

func request(id string, changes ...messenger.SettingChange) messenger.ChangeRequest {
	return messenger.ChangeRequest{OperationID: id, Changes: changes}
}

func mustChange(t *testing.T, c *Configurer, id string, changes ...messenger.SettingChange) int64 {
	t.Helper()
	revision, err := c.Change(request(id, changes...))
	require.NoError(t, err)
	return revision
}

func TestChange(t *testing.T) {
	t.Run("concurrent operators get a conflict and lose no update", func(t *testing.T) {
		s := newTestStore()
		a, b := s.configurer(), s.configurer()
		mustChange(t, a, "create", modelChange("oak", 0, 1))
		s.before = func() {
			s.before = func() {}
			mustChange(t, b, "of b", modelChange("oak", 1, 2))
		}
		_, err := a.Change(request("of a", modelChange("oak", 1, 3)))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		assert.Equal(t, int64(2), conflict.Version)
		require.NoError(t, a.Poll())
		assert.Equal(t, int64(2), a.tree.Catalog().Models["oak"].Bytes)
	})
	t.Run("a change whose answer is lost is recognized", func(t *testing.T) {
		s := newTestStore()
		c := s.configurer()
		s.answer = func(error) error {
			s.answer = func(err error) error { return err }
			return transactor.ErrUnknownOutcome
		}
		assert.Equal(t, int64(1), mustChange(t, c, "one", modelChange("oak", 0, 1)))
		assert.Len(t, s.platform.Rows(settingsTable), 1)
	})
	t.Run("a change that took effect is accepted though later reads fail", func(t *testing.T) {
		s := newTestStore()
		c := s.configurer()
		s.answer = func(err error) error {
			s.failRead = func(string) bool { return true }
			return err
		}
		revision, err := c.Change(request("one", modelChange("oak", 0, 1)))
		require.NoError(t, err)
		assert.Equal(t, revision, c.tree.Revision(), "the instance that accepted the change uses it")
	})
	t.Run("a change whose answer is lost before an outage has an unknown outcome", func(t *testing.T) {
		s := newTestStore()
		c := s.configurer()
		s.answer = func(error) error {
			s.failRead = func(string) bool { return true }
			return transactor.ErrUnknownOutcome
		}
		_, err := c.Change(request("one", modelChange("oak", 0, 1)))
		require.ErrorIs(t, err, ErrUnknownOutcome)
	})
	t.Run("a repeated change is recognized though another one followed it", func(t *testing.T) {
		s := newTestStore()
		a, b := s.configurer(), s.configurer()
		first := mustChange(t, a, "one", modelChange("oak", 0, 1))
		mustChange(t, b, "two", modelChange("oak", 1, 2))
		assert.Equal(t, first, mustChange(t, b, "one", modelChange("oak", 0, 1)))
	})
	t.Run("a change whose answer is lost is recognized though another one followed it", func(t *testing.T) {
		s := newTestStore()
		a, b := s.configurer(), s.configurer()
		s.answer = func(error) error {
			s.answer = func(err error) error { return err }
			mustChange(t, b, "two", modelChange("oak", 1, 2))
			return transactor.ErrUnknownOutcome
		}
		assert.Equal(t, int64(1), mustChange(t, a, "one", modelChange("oak", 0, 1)))
	})
	t.Run("a deleted path is not set and can be set again", func(t *testing.T) {
		s := newTestStore()
		a, b := s.configurer(), s.configurer()
		mustChange(t, a, "set", modelChange("oak", 0, 1))
		mustChange(t, a, "delete", messenger.SettingChange{Path: "/platform/models/oak", Version: 1, Delete: true})
		require.NoError(t, b.Poll())
		assert.Empty(t, b.tree.Below("/").Entries)
		assert.Empty(t, b.tree.Catalog().Models)
		mustChange(t, b, "again", modelChange("oak", 0, 2))
		require.NoError(t, a.Poll())
		assert.Equal(t, int64(2), a.tree.Catalog().Models["oak"].Bytes)
	})
	t.Run("an operation ID can't be reused for another change", func(t *testing.T) {
		s := newTestStore()
		c := s.configurer()
		mustChange(t, c, "one", modelChange("oak", 0, 1))
		_, err := c.Change(request("one", modelChange("elm", 0, 1)))
		require.ErrorIs(t, err, ErrBadValue)
		assert.Len(t, s.platform.Rows(settingsTable), 1)
	})
}

func TestChangeNeedsPeers(t *testing.T) {
	s := newTestStore()
	c := s.configurer()
	asked := 0
	c.reachesPeers = func() bool { asked++; return false }
	_, err := c.Change(request("one", modelChange("oak", 0, 1)))
	require.ErrorIs(t, err, transactor.ErrUnavailable)
	assert.Greater(t, asked, 1)
	assert.Empty(t, s.platform.Rows(settingsTable))
}

func TestOldChangesAreDeleted(t *testing.T) {
	s := newTestStore()
	c := s.configurer()
	for i := range keptChanges + 3 {
		mustChange(t, c, fmt.Sprint("change-", i), modelChange("oak", int64(i), i+1))
	}
	assert.Len(t, s.platform.Rows(changeTable), keptChanges)
	assert.Len(t, s.platform.Rows(operationTable), keptChanges)
	late := s.configurer()
	require.NoError(t, late.Poll())
	assert.Equal(t, c.tree.Since(0), late.tree.Since(0))
}

func TestPollReadsOnlyWhatChanged(t *testing.T) {
	s := newTestStore()
	a, b := s.configurer(), s.configurer()
	mustChange(t, a, "one", modelChange("oak", 0, 1))
	require.NoError(t, b.Poll())
	s.reads = 0
	require.NoError(t, b.Poll())
	assert.Equal(t, 1, s.reads, "nothing changed: only the revision row is read")
	mustChange(t, a, "two", modelChange("elm", 0, 1))
	s.reads = 0
	s.failRead = func(table string) bool { return table == settingsTable }
	require.NoError(t, b.Poll())
	assert.Equal(t, 2, s.reads, "one change: the revision row and that change are read")
	assert.Contains(t, b.tree.Catalog().Models, "elm")
}
