package relay

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// plainCopy starts a proxy that only copies in both directions and returns its
// address. It is the baseline for one hop of the relay.
func plainCopy(b *testing.B, address string) string {
	return startBackend(b, func(in *net.TCPConn) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		out := c.(*net.TCPConn)
		defer out.Close()
		back := make(chan struct{})
		go func() {
			defer close(back)
			_, _ = io.Copy(in, out)
			_ = in.CloseWrite()
		}()
		_, _ = io.Copy(out, in)
		_ = out.CloseWrite()
		<-back
	})
}

// startPaths starts the paths to compare and returns their addresses: no hop,
// two plain hops, and the two hops of the relay.
func startPaths(b *testing.B, backend string) map[string]string {
	var choices atomic.Int32
	_, agent := startAgent(b, backend, nil)
	_, balancer := startBalancer(b, &choices, agent)
	return map[string]string{
		"direct":     backend,
		"plain-copy": plainCopy(b, plainCopy(b, backend)),
		"relay":      balancer,
	}
}

var pathNames = []string{"direct", "plain-copy", "relay"}

// BenchmarkConnection measures one connection with a request and response of 64 bytes.
func BenchmarkConnection(b *testing.B) {
	addresses := startPaths(b, startBackend(b, echo))
	for _, name := range pathNames {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			msg := make([]byte, 64)
			for b.Loop() {
				conn, err := net.Dial("tcp", addresses[name])
				c.Assert(err, qt.IsNil)
				_, err = conn.Write(msg)
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(conn, msg)
				c.Assert(err, qt.IsNil)
				conn.Close()
			}
		})
	}
}

// BenchmarkUpload measures the throughput of one connection with writes of 64 KiB.
func BenchmarkUpload(b *testing.B) {
	addresses := startPaths(b, startBackend(b, func(conn *net.TCPConn) {
		n, _ := io.Copy(io.Discard, conn)
		_, _ = conn.Write([]byte{byte(n >> 16)})
	}))
	for _, name := range pathNames {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			data := make([]byte, 64<<10)
			b.SetBytes(int64(len(data)))
			conn := connect(c, addresses[name])
			for b.Loop() {
				_, err := conn.Write(data)
				c.Assert(err, qt.IsNil)
			}
			c.Assert(conn.CloseWrite(), qt.IsNil)
			_, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
		})
	}
}

// BenchmarkRoundTrip measures a request and response of 64 bytes on an open connection.
func BenchmarkRoundTrip(b *testing.B) {
	addresses := startPaths(b, startBackend(b, echo))
	for _, name := range pathNames {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			conn := connect(c, addresses[name])
			msg := make([]byte, 64)
			for b.Loop() {
				_, err := conn.Write(msg)
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(conn, msg)
				c.Assert(err, qt.IsNil)
			}
		})
	}
}
