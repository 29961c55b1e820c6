package control

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Platform reads from the configuration service. Index and Hosts return nil
// when there is nothing newer within the wait.
type Platform interface {
	Index(ctx context.Context, after uint64, wait time.Duration) (*schema.Index, error)
	Part(ctx context.Context, name string) (*schema.Part, error)
	Hosts(ctx context.Context, after uint64, wait time.Duration) (*schema.HostList, error)
}

const (
	// callTimeout is added to the wait of a call; the service answers in
	// milliseconds.
	callTimeout = 5 * time.Second
	// partBurst parts are read at once, further ones every partEvery. When the
	// 45 readers of 15 zones read everything they stay below 1,500 calls/s.
	partBurst = 8
	partEvery = 30 * time.Millisecond
)

// reader reads configurations. Parts that did not change are kept, because a
// change usually touches one of them; their items are shared with the store.
type reader struct {
	platform Platform
	index    *schema.Index
	parts    map[string]keptPart
}

type keptPart struct {
	digest []byte
	part   *schema.Part
}

// assemble reads the parts of an index that are not kept and joins them.
func (r *reader) assemble(ctx context.Context, index *schema.Index) (*schema.Config, error) {
	out := &schema.Config{Revision: index.GetRevision(), HashKey: index.GetHashKey()}
	kept := map[string]keptPart{}
	calls := 0
	for _, ref := range index.GetParts() {
		k, ok := r.parts[ref.GetName()]
		if !ok || !bytes.Equal(k.digest, ref.GetDigest()) {
			var err error
			if k, err = r.part(ctx, ref, calls); err != nil {
				return nil, err
			}
			calls++
		}
		kept[ref.GetName()] = k
		out.Members = append(out.Members, k.part.GetMembers()...)
		out.Services = append(out.Services, k.part.GetServices()...)
		out.Targets = append(out.Targets, k.part.GetTargets()...)
		out.Policies = append(out.Policies, k.part.GetPolicies()...)
	}
	r.parts = kept
	return out, nil
}

// part reads one part. A part with another digest was published after the
// index, which must then be read again.
func (r *reader) part(ctx context.Context, ref *schema.PartRef, calls int) (keptPart, error) {
	if calls >= partBurst && !pause(ctx, partEvery) {
		return keptPart{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := r.platform.Part(ctx, ref.GetName())
	if err != nil {
		return keptPart{}, err
	}
	if !bytes.Equal(config.PartDigest(p), ref.GetDigest()) {
		return keptPart{}, errors.Errorf("part %q does not have the digest of the index", ref.GetName())
	}
	return keptPart{digest: ref.GetDigest(), part: p}, nil
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextRead waits for a read of a kind.
func (c *Control) nextRead(ctx context.Context, kind confsync.ReadKind) (confsync.Read, bool) {
	select {
	case <-ctx.Done():
		return confsync.Read{}, false
	case r := <-c.reads[kind]:
		return r, true
	}
}

// failed reports a read without result to the core.
func (c *Control) failed(kind confsync.ReadKind) {
	c.update(func(now time.Time) { c.node.sync.ReadFailed(now, kind) })
}

// runIndex reads and watches the index.
func (c *Control) runIndex(ctx context.Context) {
	for {
		r, ok := c.nextRead(ctx, confsync.ReadIndex)
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
		index, err := c.settings.Platform.Index(call, r.After, r.Wait)
		cancel()
		if err != nil {
			c.failed(confsync.ReadIndex)
			continue
		}
		c.update(func(now time.Time) {
			if index != nil {
				c.reader.index = index
			}
			c.node.indexRead(now, index)
		})
	}
}

// runParts reads the parts of the last index.
func (c *Control) runParts(ctx context.Context) {
	for {
		if _, ok := c.nextRead(ctx, confsync.ReadParts); !ok {
			return
		}
		c.mu.Lock()
		index := c.reader.index
		c.mu.Unlock()
		whole, err := c.reader.assemble(ctx, index)
		if err != nil {
			c.failed(confsync.ReadParts)
			continue
		}
		c.update(func(now time.Time) { c.node.configRead(now, whole) })
	}
}

// runHosts reads and watches the host list.
func (c *Control) runHosts(ctx context.Context) {
	for {
		r, ok := c.nextRead(ctx, confsync.ReadHosts)
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
		list, err := c.settings.Platform.Hosts(call, r.After, r.Wait)
		cancel()
		if err != nil {
			c.failed(confsync.ReadHosts)
			continue
		}
		c.update(func(now time.Time) { c.node.hostsRead(now, list) })
	}
}
