package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// newTestAgent returns an agent whose backend server runs serve for each connection.
func newTestAgent(c *qt.C, serve func(conn net.Conn, requests *bufio.Reader)) *Agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	metrics := telemetry.NewMetrics(schema.Role_AGENT, c.Name())
	c.Cleanup(metrics.Close)
	a, err := New(Options{
		Settings: &schema.AgentSettings{
			Common: &schema.CommonSettings{Host: "host", Zone: "z1", ControlAddress: "127.0.0.1:0"},
			Target: 1, BackendUrl: "http://" + listener.Addr().String(),
		},
		Logger: telemetry.Discard(), Metrics: metrics,
	})
	c.Assert(err, qt.IsNil)
	return a
}

func (a *Agent) callTestBackend(id uint64) offer.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return a.callBackend(ctx, offer.StartRequest{RequestID: id, Deadline: time.Now().Add(10 * time.Second)}, "")
}

// Guards against an answer that reaches the next caller: the backend server sends a second
// copy of it, late, on a connection that is in use again.
func TestLateCopyOfAnAnswer(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(c, func(conn net.Conn, requests *bufio.Reader) {
		for first := ""; ; {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if first == "" {
				first = request.Header.Get(headerRequestID)
			}
			// The second request on a connection gets the copy of the first answer.
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(first), first)
		}
	})
	for id := range uint64(5) {
		r := a.callTestBackend(id + 1)
		c.Check(r.Kind, qt.Equals, schema.ErrorKind_ERROR_KIND_NONE)
		c.Check(string(r.Body), qt.Equals, fmt.Sprint(id+1))
	}
}

// Guards against an answer that breaks off halfway and is delivered as a complete success.
func TestTruncatedAnswerIsAFailure(t *testing.T) {
	c := qt.New(t)
	for name, answer := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunk":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no last chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"end of the stream": "HTTP/1.1 200 OK\r\n\r\nhalf",
		"header":            "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		c.Run(name, func(c *qt.C) {
			a := newTestAgent(c, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err == nil {
					fmt.Fprint(conn, answer)
				}
			})
			r := a.callTestBackend(1)
			c.Check(r.Kind, qt.Equals, schema.ErrorKind_BACKEND_FAILED, qt.Commentf("%q", r.Body))
		})
	}
}

// Guards against an agent that refuses all work after a takeover that came before its
// first configuration and failed.
func TestFailedHandOverEndsDraining(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(c, func(net.Conn, *bufio.Reader) {})
	_, err := a.HandOver(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*no configuration.*")
	c.Check(a.Draining(), qt.IsFalse)
}
