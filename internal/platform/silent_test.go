package platform_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/platform"
	"github.com/peridotstall/peridotstall/internal/silence"
)

// Guards against calls of the configuration service that wait for good behind connections which
// are still being set up to an address that does not answer.
func TestCallsEndAtASilentService(t *testing.T) {
	c := qt.New(t)
	silent, err := silence.Listen()
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	client, err := platform.NewClient("http://" + silent.Addr().String())
	c.Assert(err, qt.IsNil)
	// As many calls as the client has connections.
	for range 3 {
		short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := client.Part(short, "a")
		cancel()
		c.Assert(err, qt.IsNotNil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_, err = client.Part(ctx, "a")
	c.Check(err, qt.IsNotNil)
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the call ended with its context: %v", err))
}
