package listener

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}

func TestWatchCaller(t *testing.T) {
	t.Run("a caller that leaves is noticed at once", func(t *testing.T) {
		server, client := connect(t)
		c := watchCaller(server)
		defer c.stop()
		client.Close()
		select {
		case <-c.context.Done():
		case <-time.After(time.Second):
			assert.Fail(t, "not noticed")
		}
	})
	t.Run("a further request is left to be read", func(t *testing.T) {
		server, client := connect(t)
		c := watchCaller(server)
		_, err := client.Write([]byte("next\n"))
		require.NoError(t, err)
		<-c.done
		assert.NoError(t, c.context.Err())
		c.stop()
		line, err := bufio.NewReader(server).ReadString('\n')
		assert.NoError(t, err)
		assert.Equal(t, "next\n", line)
	})
	t.Run("a connection can be used after the watch", func(t *testing.T) {
		server, client := connect(t)
		watchCaller(server).stop()
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		_, err = server.Read(make([]byte, 1))
		assert.NoError(t, err)
	})
}
