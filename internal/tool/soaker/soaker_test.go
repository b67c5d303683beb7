package soaker

import (
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/breaker"
)

// seeds are the seeds of TestSoak: one for regular runs, and each seed that once failed,
// with a line about the cause.
var seeds = []uint64{
	1,
}

// TestSoak soaks the real program for 8 s of disturbances with each of the seeds.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "crocusring")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/crocusring").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		for _, hasAccounts := range []bool{false, true} {
			found, err := Run(t.Context(), Settings{
				Seed: seed, Length: 8 * time.Second, Instances: 3, Callers: 12, Program: program, Directory: t.TempDir(), Out: io.Discard,
				HasAccounts: hasAccounts, RestoreShare: 0.1,
			})
			require.NoError(t, err)
			assert.Empty(t, found, "seed %d, with accounts: %t", seed, hasAccounts)
		}
	}
}

// startEchoServer starts a TCP server that echoes and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func TestProxy(t *testing.T) {
	proxy, err := NewProxy(startEchoServer(t))
	require.NoError(t, err)
	defer proxy.Close()
	dial := func(t *testing.T) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp4", proxy.Address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	// roundTrip sends a byte and returns an error unless it is echoed in time.
	roundTrip := func(c net.Conn, within time.Duration) error {
		if _, err := c.Write([]byte{1}); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	t.Run("forwards", func(t *testing.T) { require.NoError(t, roundTrip(dial(t), time.Second)) })
	for name, link := range map[string]Link{"to the server": {StallForward: true}, "to the client": {StallBackward: true}} {
		t.Run("stalls bytes "+name, func(t *testing.T) {
			c := dial(t)
			require.NoError(t, roundTrip(c, time.Second))
			proxy.SetLink(link)
			require.Error(t, roundTrip(c, 50*time.Millisecond))
			proxy.SetLink(Link{})
			require.NoError(t, roundTrip(c, time.Second))
		})
	}
	t.Run("resets", func(t *testing.T) {
		c := dial(t)
		require.NoError(t, roundTrip(c, time.Second))
		proxy.Reset()
		require.Error(t, roundTrip(c, time.Second))
	})
	t.Run("passes on a reset of the server", func(t *testing.T) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		go func() {
			if c, err := ln.Accept(); err == nil {
				_, _ = c.Read(make([]byte, 1)) // a reset during the dial would leave nothing to pass on
				_, _ = c.Write([]byte{1})
				breaker.ResetOnClose(c)
				c.Close()
			}
		}()
		proxy, err := NewProxy(ln.Addr().String())
		require.NoError(t, err)
		defer proxy.Close()
		c, err := net.Dial("tcp4", proxy.Address)
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte{1})
		require.NoError(t, err)
		got, err := io.ReadAll(c)
		assert.Error(t, err)
		assert.Equal(t, []byte{1}, got)
	})
	t.Run("refuses", func(t *testing.T) {
		proxy.SetLink(Link{Refuse: true})
		require.Error(t, roundTrip(dial(t), time.Second))
		proxy.SetLink(Link{})
	})
}
