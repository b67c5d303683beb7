package connector

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/breaker"
)

// TestProbeTellsAnEndFromAWayThatIsInterrupted guards against taking a target that is cut off,
// or at its limit of connections, for one that has ended.
func TestProbeTellsAnEndFromAWayThatIsInterrupted(t *testing.T) {
	probe := func(t *testing.T, onAccept func(net.Conn)) Presence {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		if onAccept == nil {
			require.NoError(t, ln.Close())
		} else {
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				if c, err := ln.Accept(); err == nil {
					onAccept(c)
				}
			}()
		}
		return New(ln.Addr().String()).Probe(time.Now().Add(time.Second), func() {})
	}
	t.Run("refused", func(t *testing.T) { assert.Equal(t, Absent, probe(t, nil)) })
	t.Run("closed at once", func(t *testing.T) { assert.Equal(t, Absent, probe(t, func(c net.Conn) { _ = c.Close() })) })
	t.Run("reset at once", func(t *testing.T) {
		assert.Equal(t, Unknown, probe(t, func(c net.Conn) {
			breaker.ResetOnClose(c)
			_ = c.Close()
		}))
	})
	t.Run("open", func(t *testing.T) {
		assert.Equal(t, Present, probe(t, func(c net.Conn) { t.Cleanup(func() { _ = c.Close() }) }))
	})
	t.Run("no time", func(t *testing.T) {
		assert.Equal(t, Unknown, New("127.0.0.1:1").Probe(time.Now().Add(-time.Second), func() {}))
	})
}

// TestProbedConnectionIsUsed guards against probes that add connections to a target.
func TestProbedConnectionIsUsed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	pool := New(ln.Addr().String())
	assert.Equal(t, Present, pool.Probe(time.Now().Add(time.Second), func() {}))
	c, err := pool.get(Call{AnswerDeadline: time.Now().Add(time.Second)})
	require.NoError(t, err)
	c.Close()
	accepted, err := ln.Accept()
	require.NoError(t, err)
	_ = accepted.Close()
	assert.Empty(t, pool.idle)
}
