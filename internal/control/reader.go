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

// Platform is a client of the configuration service. Index and Hosts return nil
// when nothing newer than after is published within wait.
type Platform interface {
	Index(ctx context.Context, after uint64, wait time.Duration) (*schema.Index, error)
	Part(ctx context.Context, name string) (*schema.Part, error)
	Hosts(ctx context.Context, after uint64, wait time.Duration) (*schema.HostList, error)
}

const (
	// callTimeout is the time allowed for a call in addition to its wait. The
	// service responds in milliseconds.
	callTimeout = 5 * time.Second
	// The first partBurst parts are read at once, further ones at partInterval.
	// When the 45 readers of 15 zones read everything, this keeps them below 1,500
	// calls/s.
	partBurst    = 8
	partInterval = 30 * time.Millisecond
)

// configReader reads configurations from the service. It caches parts, because a
// change usually touches one of them; the items of cached parts are shared with
// the store.
type configReader struct {
	platform Platform
	index    *schema.Index
	parts    map[string]cachedPart
}

type cachedPart struct {
	digest []byte
	part   *schema.Part
}

// assemble reads the parts of an index that are not cached and merges all parts.
func (r *configReader) assemble(ctx context.Context, index *schema.Index) (*schema.Config, error) {
	out := &schema.Config{Revision: index.GetRevision(), HashKey: index.GetHashKey()}
	parts := map[string]cachedPart{}
	calls := 0
	for _, ref := range index.GetParts() {
		cached, ok := r.parts[ref.GetName()]
		if !ok || !bytes.Equal(cached.digest, ref.GetDigest()) {
			var err error
			if cached, err = r.readPart(ctx, ref, calls); err != nil {
				return nil, err
			}
			calls++
		}
		parts[ref.GetName()] = cached
		out.Members = append(out.Members, cached.part.GetMembers()...)
		out.Services = append(out.Services, cached.part.GetServices()...)
		out.Targets = append(out.Targets, cached.part.GetTargets()...)
		out.Policies = append(out.Policies, cached.part.GetPolicies()...)
	}
	r.parts = parts
	return out, nil
}

// readPart reads one part and checks its digest. A part with a different digest
// was published after the index, which must then be read again.
func (r *configReader) readPart(ctx context.Context, ref *schema.PartRef, calls int) (cachedPart, error) {
	if calls >= partBurst && !sleep(ctx, partInterval) {
		return cachedPart{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := r.platform.Part(ctx, ref.GetName())
	if err != nil {
		return cachedPart{}, err
	}
	if !bytes.Equal(config.PartDigest(p), ref.GetDigest()) {
		return cachedPart{}, errors.Errorf("part %q: digest differs from that in the index", ref.GetName())
	}
	return cachedPart{digest: ref.GetDigest(), part: p}, nil
}

// sleep waits for d and reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextRead waits for the next read of a kind and returns false when the context
// ends.
func (c *Control) nextRead(ctx context.Context, kind confsync.ReadKind) (confsync.Read, bool) {
	select {
	case <-ctx.Done():
		return confsync.Read{}, false
	case r := <-c.reads[kind]:
		return r, true
	}
}

// readFailed reports a failed read to confsync.
func (c *Control) readFailed(kind confsync.ReadKind) {
	c.update(func(now time.Time) { c.node.syncer.ReadFailed(now, kind) })
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
			c.readFailed(confsync.ReadIndex)
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
		cfg, err := c.reader.assemble(ctx, index)
		if err != nil {
			c.readFailed(confsync.ReadParts)
			continue
		}
		c.update(func(now time.Time) { c.node.configRead(now, cfg) })
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
			c.readFailed(confsync.ReadHosts)
			continue
		}
		c.update(func(now time.Time) { c.node.hostsRead(now, list) })
	}
}
