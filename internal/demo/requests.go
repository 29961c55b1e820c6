package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/peridotstall/peridotstall/caller"
)

const (
	// requestDeadline is the time allowed for a request.
	requestDeadline = 5 * time.Second
	// requestWorkers is the number of requests in progress per service.
	requestWorkers = 8
	// bidPause and uploadPause are the waits of a worker between two requests.
	bidPause    = 20 * time.Millisecond
	uploadPause = 60 * time.Millisecond
	// uploadSize is the size of an upload in bytes.
	uploadSize = 20_000
)

// outcome is what a caller learned about one request.
type outcome struct {
	id     string
	class  string
	target uint32
	whole  bool
	err    *caller.Error
}

// requester sends the requests of one service.
type requester struct {
	member  string
	service uint32
	class   string
	client  *caller.Client
	rng     *rand.Rand

	mu       sync.Mutex
	sent     int
	outcomes []outcome
}

func newRequester(member string, s service, addresses []netip.AddrPort, seed uint64) (*requester, error) {
	client, err := caller.Dial(caller.Settings{
		Service:   netip.MustParseAddrPort(serviceAddress(s.id)),
		Balancers: addresses,
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Deadline:  requestDeadline,
		Seed:      seed + uint64(s.id),
	})
	if err != nil {
		return nil, err
	}
	return &requester{
		member:  member,
		service: s.id,
		class:   s.class,
		client:  client,
		rng:     rand.New(rand.NewPCG(seed, uint64(s.id))),
	}, nil
}

// run sends requests until the context ends, and then waits for the last ones.
func (r *requester) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range requestWorkers {
		workers.Go(func() { r.work(ctx) })
	}
	workers.Wait()
}

func (r *requester) work(ctx context.Context) {
	for ctx.Err() == nil {
		// The request is not tied to the context: the end of the demo must not
		// cut it off.
		r.once(context.Background())
		pause := bidPause
		if r.class == "upload" {
			pause = uploadPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *requester) once(ctx context.Context) {
	id, body := r.next()
	response, err := r.client.Do(ctx, caller.Request{
		Class:      r.class,
		Idempotent: r.class == "upload",
		Body:       []byte(body),
	})
	o := outcome{id: id, class: r.class}
	if err != nil {
		errors.As(err, &o.err)
	} else {
		o.whole = string(response.Body) == body
		o.target = response.Target
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// next returns the identity of a new request and its body, which begins with it.
func (r *requester) next() (id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	id = fmt.Sprintf("%s/%d/%d", r.class, r.service, r.sent)
	if r.class != "upload" {
		return id, id + "\namount"
	}
	return id, id + "\n" + strings.Repeat("x", uploadSize)
}
