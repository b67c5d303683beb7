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
)

// seeds are those that are run here: one for the routine, and each that ever failed with
// a line on the cause.
var seeds = []uint64{
	1,
}

// TestSoak soaks the real program for some seconds with each of the seeds.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "crocusring")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/crocusring").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		found, err := Run(t.Context(), Settings{
			Seed: seed, Length: 8 * time.Second, Instances: 3, Callers: 12, Program: program, Directory: t.TempDir(), Out: io.Discard,
		})
		require.NoError(t, err)
		assert.Empty(t, found, "seed %d", seed)
	}
}

// echo serves connections that get back what they send.
func echo(t *testing.T) string {
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
	proxy, err := NewProxy(echo(t))
	require.NoError(t, err)
	defer proxy.Close()
	dial := func(t *testing.T) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp4", proxy.Address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	// ask sends a byte and reports whether it is back within a while.
	ask := func(c net.Conn, within time.Duration) error {
		if _, err := c.Write([]byte{1}); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	t.Run("passes", func(t *testing.T) { require.NoError(t, ask(dial(t), time.Second)) })
	for name, link := range map[string]Link{"there": {CutThere: true}, "back": {CutBack: true}} {
		t.Run("holds back what goes "+name, func(t *testing.T) {
			c := dial(t)
			require.NoError(t, ask(c, time.Second))
			proxy.Set(link)
			require.Error(t, ask(c, 50*time.Millisecond))
			proxy.Set(Link{})
			require.NoError(t, ask(c, time.Second))
		})
	}
	t.Run("resets", func(t *testing.T) {
		c := dial(t)
		require.NoError(t, ask(c, time.Second))
		proxy.Reset()
		require.Error(t, ask(c, time.Second))
	})
	t.Run("refuses", func(t *testing.T) {
		proxy.Set(Link{Refuse: true})
		require.Error(t, ask(dial(t), time.Second))
		proxy.Set(Link{})
	})
}
