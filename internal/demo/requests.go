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
	// requestDeadline limits the time of a request.
	requestDeadline = 5 * time.Second
	// requestWorkers is the number of concurrent requests per service.
	requestWorkers = 8
	// requestDelay is the delay of a worker before the next request that is not an
	// upload, uploadDelay the delay before the next upload.
	requestDelay = 20 * time.Millisecond
	uploadDelay  = 60 * time.Millisecond
	// uploadSize is the size of an upload in bytes.
	uploadSize = 20_000
)

// result is the result of a request at its caller.
type result struct {
	id      string
	class   string
	target  uint32
	correct bool
	err     *caller.Error
}

// requester sends the requests of one service.
type requester struct {
	member  string
	service uint32
	class   string
	client  *caller.Client
	rng     *rand.Rand

	mu      sync.Mutex
	sent    int
	results []result
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

// run sends requests until the context ends, and returns when all of them have ended.
func (r *requester) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range requestWorkers {
		workers.Go(func() { r.runWorker(ctx) })
	}
	workers.Wait()
}

func (r *requester) runWorker(ctx context.Context) {
	for ctx.Err() == nil {
		// The request does not use ctx, so that the end of the run does not cut it off.
		r.send(context.Background())
		delay := requestDelay
		if r.class == "upload" {
			delay = uploadDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *requester) send(ctx context.Context) {
	id, body := r.newRequest()
	response, err := r.client.Do(ctx, caller.Request{
		Class:      r.class,
		Idempotent: r.class == "upload",
		Body:       []byte(body),
	})
	o := result{id: id, class: r.class}
	if err != nil {
		errors.As(err, &o.err)
	} else {
		o.correct = string(response.Body) == body
		o.target = response.Target
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, o)
}

// newRequest returns the ID of a new request and its body, which begins with the ID.
func (r *requester) newRequest() (id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	id = fmt.Sprintf("%s/%d/%d", r.class, r.service, r.sent)
	if r.class != "upload" {
		return id, id + "\namount"
	}
	return id, id + "\n" + strings.Repeat("x", uploadSize)
}
