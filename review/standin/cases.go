package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// largeCount is the number of entries of the greatest size.
const largeCount = 32

// largeEntries: another writer leaves entries of the greatest size that cannot be read; then all
// processes of the system are killed at the same moment and start again.
func largeEntries(e *env) error {
	if e.trouble {
		for i := range largeCount {
			e.store.put(fmt.Sprintf("servers/archive-%02d", i), bytes.Repeat([]byte{0xff}, valueBytes))
		}
		e.rec.note("trouble", "%d entries of another writer, %d bytes each, that cannot be read", largeCount, valueBytes)
	}
	time.Sleep(contact + 2*time.Second)
	now := e.rec.now()
	sent, served := e.rec.share(now-4*time.Second, now-time.Second)
	e.rec.note("served", "before the fault %d of %d", served, sent)
	if 4*served < sent {
		return fmt.Errorf("less than a quarter was served before the fault")
	}
	list := append([]*process(nil), e.edges...)
	for _, p := range e.agents {
		list = append(list, p)
	}
	e.rec.note("fault", "all processes of the system are killed")
	if err := e.restart(1500*time.Millisecond, list...); err != nil {
		return err
	}
	back := e.rec.now()
	time.Sleep(recovery + 15*time.Second)
	from, to := back+recovery, e.rec.now()-requestTimeout
	sent, served = e.rec.share(from, to)
	e.rec.note("served", "later than %s after the machines were back %d of %d", recovery, served, sent)
	if 4*served < sent {
		e.rec.violation("RECOVER", "of the requests sent later than %s after the machines were back, %d of %d were served", recovery, served, sent)
	}
	return nil
}

// foreignEntry: another writer leaves one entry, of a service that no configuration names, whose
// address is on the machine of a target.
func foreignEntry(e *env) error {
	var flows []*flow
	for z := range e.zones {
		list, err := e.longFlows(z, 14, e.routes[0])
		if err != nil {
			return err
		}
		flows = append(flows, list...)
	}
	e.keepUsing(flows, 4*time.Second)
	held := map[*target]int{}
	var most *target
	for _, f := range flows {
		t := e.rec.holder(f.key)
		held[t]++
		if most == nil || held[t] > held[most] {
			most = t
		}
	}
	if e.trouble {
		entry, err := json.Marshal(map[string]any{
			"backend": "metrics-exporter", "address": most.ip + ":9100", "zone": most.zone, "version": "v1", "capacity": 1,
			"state": "ready", "warmup_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		e.store.put("servers/exporter-1", entry)
		e.rec.note("trouble", "entry of another writer at %s:9100, the machine of target %s with %d of %d flows: %s", most.ip, most.id, held[most], len(flows), entry)
	}
	e.keepUsing(flows, 8*time.Second)
	return nil
}

// dropExtra drops the route r-extra and uses it for a time.
func (e *env) dropExtra(version int, d time.Duration) error {
	q, err := e.requester(0)
	if err != nil {
		return err
	}
	acked := e.putConfig(version, e.config(version, e.routes[:2]), "route r-extra is dropped")
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		if q, err = e.requester(n % len(e.zones)); err != nil {
			return err
		}
		f, id, err := e.single(q, e.routes[2])
		if err == nil && f.sentAt > acked+configApply {
			e.rec.violation("CONFIG", "%s, sent %s after the ack of version %d, ran on its dropped route", id, (f.sentAt - acked).Round(time.Millisecond), version)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// movedStore: the settings files change, with SIGHUP: the store has another address.
func movedStore(e *env) error {
	if e.trouble {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", e.ip(200, 8), e.ports.store))
		if err != nil {
			return err
		}
		go e.store.server.Serve(l)
		old := e.store.listener
		for _, p := range e.edges {
			b, err := os.ReadFile(p.settings)
			if err != nil {
				return err
			}
			changed := strings.Replace(string(b), old.Addr().String(), l.Addr().String(), 1)
			if err := os.WriteFile(p.settings, []byte(changed), 0o600); err != nil {
				return err
			}
			e.rec.note("trouble", "settings of %s: platform.address is %s", p.name, l.Addr())
			e.signal(p, syscall.SIGHUP)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		old.Close()
		e.store.movedTo(l.Addr().String())
		e.rec.note("trouble", "the old address of the store no longer answers")
	}
	time.Sleep(contact + 2*time.Second)
	return e.dropExtra(2, 10*time.Second)
}

// silence is a span in which the store does not respond, in time since the first one began.
type silence struct{ from, to time.Duration }

// silences are less than 9 s long each.
var silences = []silence{{0, 8900 * time.Millisecond}, {10800 * time.Millisecond, 14200 * time.Millisecond}, {19200 * time.Millisecond, 22400 * time.Millisecond}}

// silentStore: the store does not respond to the edge machines, three times.
func silentStore(e *env) error {
	var routesAt, targetsAt atomic.Int64
	e.store.mu.Lock()
	e.store.onAnswer = func(path, prefix string) {
		switch {
		case path != "/v1/kv-watch":
		case prefix == "op/config":
			routesAt.Store(time.Now().UnixNano())
		default:
			targetsAt.Store(time.Now().UnixNano())
		}
	}
	e.store.mu.Unlock()
	// Begins shortly before the next answer to a watch of one second is due.
	time.Sleep(3 * time.Second)
	for {
		due := time.Unix(0, min(routesAt.Load(), targetsAt.Load())).Add(time.Second)
		if left := time.Until(due); left > 10*time.Millisecond && left < 50*time.Millisecond {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	start := time.Now()
	for _, s := range silences {
		time.Sleep(time.Until(start.Add(s.from)))
		if e.trouble {
			if err := e.store.gate.close(); err != nil {
				return err
			}
			if s.from == 0 {
				start = time.Now()
			}
			e.rec.note("trouble", "the store does not respond to the edge machines")
		}
		time.Sleep(time.Until(start.Add(s.to)))
		if e.trouble {
			if err := e.store.gate.reopen(); err != nil {
				return err
			}
			e.rec.note("trouble", "the store responds again")
		}
	}
	time.Sleep(contact)
	return e.dropExtra(2, 8*time.Second)
}

// partialEntry: another writer leaves one entry without the fields version, warmup_remaining_ms
// and sequence at the address of a target, which drains later.
func partialEntry(e *env) error {
	t := e.targets[0]
	if e.trouble {
		entry, err := json.Marshal(map[string]any{
			"backend": t.service, "address": t.address, "zone": t.zone, "capacity": t.slots, "state": "ready", "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		e.store.put("servers/legacy-1", entry)
		e.rec.note("trouble", "entry of another writer at the address of target %s: %s", t.id, entry)
	}
	time.Sleep(3 * time.Second)
	t.drain()
	acked := e.rec.now()
	e.rec.note("drain", "target %s is draining, acknowledged", t.id)
	time.Sleep(drainTimeout + 7*time.Second)
	e.rec.mu.Lock()
	openings := e.rec.openings
	e.rec.mu.Unlock()
	for _, o := range openings {
		if late := o.at - acked; o.target == t && late > drainTimeout {
			e.rec.violation("DRAIN", "%s reached target %s %s after the ack of its drain", o.key, t.id, late.Round(time.Millisecond))
		}
	}
	return nil
}
