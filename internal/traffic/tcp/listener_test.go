package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
)

// Guards against a truncated answer that ends in order: a reset must not wait for data that the peer has not acknowledged.
func TestResetOfAcceptedConnectionIsNoOrderlyClose(t *testing.T) {
	l, err := tcp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	conn, err := l.Accept()
	require.NoError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		// More than the buffers hold, so that the peer has not acknowledged the rest.
		_, _ = conn.Write(make([]byte, 64<<20))
	}()
	_, err = io.ReadFull(client, make([]byte, 1))
	require.NoError(t, err)
	tcp.Reset(conn)
	<-written
	_, err = io.Copy(io.Discard, client)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
