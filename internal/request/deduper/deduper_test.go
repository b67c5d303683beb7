package deduper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusring/crocusring/internal/request/deduper"
)

var (
	start = time.UnixMilli(1_800_000_000_000)
	home  = deduper.Home{Instance: "entry_1", Incarnation: "abc"}
	body  = deduper.DigestOf([]byte("body"))
)

// callerKey returns a caller key that was made at a time.
func callerKey(at time.Time, number int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, number)
}

func parse(t require.TestingT, text string) deduper.Key {
	key, err := deduper.ParseKey(text)
	require.NoError(t, err)
	return key
}

func TestParseKey(t *testing.T) {
	issued := parse(t, deduper.Issue(home, start))
	assert.Equal(t, home, issued.Home)
	assert.Equal(t, start.Add(10*time.Minute), issued.Deadline)
	own := parse(t, callerKey(start, 1))
	assert.False(t, own.IsIssued())
	assert.Equal(t, start.Add(time.Hour), own.Deadline)
	for _, text := range []string{
		"", "free-form", "cr1_a_b_c", "cr1__inc_kz_x", "cr1_e__kz_x", "cr1_e_inc_!_x", strings.ToUpper(callerKey(start, 10)),
		strings.Replace(callerKey(start, 1), "-7", "-4", 1), callerKey(start, 1) + "0", "a/b", "a b", strings.Repeat("x", 300),
	} {
		_, err := deduper.ParseKey(text)
		assert.ErrorIs(t, err, deduper.ErrBadKey, "%q", text)
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add(deduper.Issue(home, start))
	f.Add(callerKey(start, 1))
	f.Add("cr1_a_b_c_d")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := deduper.ParseKey(text)
		if err != nil {
			assert.ErrorIs(t, err, deduper.ErrBadKey)
			return
		}
		assert.Equal(t, text, key.Text)
		assert.NotContains(t, text, "/")
		assert.False(t, key.Deadline.IsZero())
	})
}

// TestTableRefusals checks that a table accepts a key only if it can tell whether
// the request has run before. Otherwise a request could run twice or get the answer
// to another one.
func TestTableRefusals(t *testing.T) {
	begin := func(table *deduper.Table, text string, content deduper.Digest, now time.Time) (bool, error) {
		_, mustRun, err := table.Begin("team", parse(t, text), content, now)
		return mustRun, err
	}
	t.Run("another body", func(t *testing.T) {
		table := deduper.New()
		_, err := begin(table, callerKey(start, 1), body, start)
		require.NoError(t, err)
		_, err = begin(table, callerKey(start, 1), deduper.DigestOf([]byte("other")), start)
		assert.ErrorIs(t, err, deduper.ErrReused)
	})
	t.Run("keys of different teams are independent", func(t *testing.T) {
		table := deduper.New()
		_, _, err := table.Begin("one", parse(t, callerKey(start, 1)), body, start)
		require.NoError(t, err)
		_, mustRun, err := table.Begin("two", parse(t, callerKey(start, 1)), body, start)
		assert.NoError(t, err)
		assert.True(t, mustRun)
	})
	t.Run("full", func(t *testing.T) {
		table := deduper.New(deduper.WithLimits(1, 100))
		_, err := begin(table, callerKey(start, 1), body, start)
		require.NoError(t, err)
		_, err = begin(table, callerKey(start, 2), body, start)
		assert.ErrorIs(t, err, deduper.ErrFull)
		mustRun, err := begin(table, callerKey(start, 1), body, start)
		assert.NoError(t, err)
		assert.False(t, mustRun)
	})
	t.Run("deadline too far ahead", func(t *testing.T) {
		_, err := begin(deduper.New(), deduper.Issue(home, start.Add(time.Hour)), body, start)
		assert.ErrorIs(t, err, deduper.ErrBadKey)
		_, err = begin(deduper.New(), callerKey(start.Add(time.Hour), 1), body, start)
		assert.ErrorIs(t, err, deduper.ErrBadKey)
	})
	t.Run("a clock set back does not revive a pruned key", func(t *testing.T) {
		table := deduper.New()
		text := deduper.Issue(home, start)
		entry, _, err := table.Begin("team", parse(t, text), body, start)
		require.NoError(t, err)
		entry.Answer(deduper.Head{Status: 200}, []byte("done"))
		table.Prune(start.Add(time.Hour))
		_, err = begin(table, text, body, start)
		assert.ErrorIs(t, err, deduper.ErrExpired)
	})
}

func TestRepeatableFailureRunsAgain(t *testing.T) {
	table := deduper.New()
	begin := func() (*deduper.Entry, bool) {
		entry, mustRun, err := table.Begin("team", parse(t, callerKey(start, 1)), body, start)
		require.NoError(t, err)
		return entry, mustRun
	}
	soon := time.Now().Add(time.Second)
	entry, _ := begin()
	entry.Begin(deduper.Head{Status: 200})
	entry.Append([]byte("par"))
	slow := entry.Reader()
	_, err := slow.Next(soon)
	require.NoError(t, err)
	entry.Fail(true)
	entry, mustRun := begin()
	require.True(t, mustRun)
	_, err = slow.Next(soon)
	assert.ErrorIs(t, err, deduper.ErrNotKept, "a reader of the first run does not get the second one")
	entry.Answer(deduper.Head{Status: 200}, []byte("whole"))
	text, err := read(t, entry)
	assert.NoError(t, err)
	assert.Equal(t, "whole", text)
	_, mustRun = begin()
	assert.False(t, mustRun)
	entry.Fail(false)
	_, mustRun = begin()
	assert.False(t, mustRun)
}

func read(t require.TestingT, entry *deduper.Entry) (string, error) {
	reader := entry.Reader()
	soon := time.Now().Add(time.Second)
	if _, err := reader.Head(soon); err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		part, err := reader.Next(soon)
		if err != nil || part == nil {
			return text.String(), err
		}
		text.Write(part)
	}
}

func TestRecordedAnswersAreBounded(t *testing.T) {
	table := deduper.New(deduper.WithLimits(10, 10))
	entries := []*deduper.Entry{}
	for i := range 3 {
		entry, _, err := table.Begin("team", parse(t, callerKey(start, i)), body, start)
		require.NoError(t, err)
		entries = append(entries, entry)
	}
	entries[0].Answer(deduper.Head{Status: 200}, []byte("12345678"))
	text, err := read(t, entries[0])
	assert.NoError(t, err)
	assert.Equal(t, "12345678", text)

	slow := entries[0].Reader()
	_, err = slow.Head(time.Now().Add(time.Second))
	require.NoError(t, err)
	entries[1].Answer(deduper.Head{Status: 200}, []byte("1234"))
	_, err = read(t, entries[0])
	assert.ErrorIs(t, err, deduper.ErrNotKept, "the answer that ended first is dropped")
	_, err = slow.Next(time.Now().Add(time.Second))
	assert.ErrorIs(t, err, deduper.ErrNotKept, "a reader in the middle gets an error, not a shortened answer")
	text, err = read(t, entries[1])
	assert.NoError(t, err)
	assert.Equal(t, "1234", text)

	entries[2].Answer(deduper.Head{Status: 200}, []byte("12345678901"))
	_, err = read(t, entries[2])
	assert.ErrorIs(t, err, deduper.ErrNotKept, "an answer that exceeds the limit alone is dropped")
	_, mustRun, err := table.Begin("team", parse(t, callerKey(start, 2)), body, start)
	assert.NoError(t, err)
	assert.False(t, mustRun, "a dropped entry does not run again")
}

// TestTableRunsKeyOnce checks, over random sends, answers, refusals and clock
// changes, that a key does not run again while it runs or after it was answered.
func TestTableRunsKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := deduper.New(deduper.WithLimits(4, 30))
		now := start
		ran := map[string]bool{}
		running := map[string]*deduper.Entry{}
		pick := func() string { return rapid.SampledFrom([]string{"0", "1", "2", "3", "4", "5"}).Draw(t, "key") }
		keyOf := func(name string) deduper.Key { return parse(t, callerKey(start, int(name[0]))) }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				name := pick()
				entry, mustRun, err := table.Begin("team", keyOf(name), body, now)
				if err != nil || !mustRun {
					return
				}
				if ran[name] || running[name] != nil {
					t.Fatalf("key %s runs again", name)
				}
				running[name] = entry
			},
			"answer": func(t *rapid.T) {
				name := pick()
				if entry := running[name]; entry != nil {
					entry.Answer(deduper.Head{Status: 200}, []byte(strings.Repeat("x", rapid.IntRange(0, 40).Draw(t, "size"))))
					ran[name] = true
					delete(running, name)
				}
			},
			"refuse": func(*rapid.T) {
				name := pick()
				if entry := running[name]; entry != nil {
					entry.Refuse(deduper.ErrFull)
					delete(running, name)
				}
			},
			"prune": func(*rapid.T) { table.Prune(now) },
			"clock": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-30, 40).Draw(t, "minutes")) * time.Minute)
			},
		})
	})
}
