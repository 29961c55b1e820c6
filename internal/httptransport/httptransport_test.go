package httptransport_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/httptransport"
	"github.com/peridotstall/peridotstall/internal/silence"
)

// Guards against a client that has used up its connections on an address that does not answer:
// what ends a call must also end the setup of its connection.
func TestConnectionSetupEnds(t *testing.T) {
	c := qt.New(t)
	silent, err := silence.Listen()
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	client := &http.Client{Transport: httptransport.New(1, 50*time.Millisecond)}
	get := func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+silent.Addr().String(), nil)
		c.Assert(err, qt.IsNil)
		_, err = client.Do(request)
		return err
	}
	ended, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	c.Assert(get(ended), qt.IsNotNil)
	ctx, cancelCall := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelCall()
	c.Check(get(ctx), qt.IsNotNil)
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the call ended with its context"))
}

// Guards against calls that fail after the address answers again.
func TestCallsSucceedAfterSilence(t *testing.T) {
	c := qt.New(t)
	silent, err := silence.Listen()
	c.Assert(err, qt.IsNil)
	client := &http.Client{Transport: httptransport.New(1, 50*time.Millisecond)}
	url := "http://" + silent.Addr().String()
	_, err = client.Get(url)
	c.Assert(err, qt.IsNotNil)
	c.Assert(silent.Answer(), qt.IsNil)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go server.Serve(silent)
	defer server.Close()
	deadline := time.Now().Add(10 * time.Second)
	for {
		response, err := client.Get(url)
		if err == nil {
			response.Body.Close()
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", err))
	}
}
