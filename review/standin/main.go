// Standins plays a case of the review: a small deployment of the system's own programs on
// loopback, with stand-ins of the platform's store and routers, of targets and of requesters.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxRun bounds a run.
const maxRun = 115 * time.Second

// Services of the small deployments.
const (
	shop   = "shop-front"
	intake = "image-intake"
)

// env is what a case uses.
type env struct {
	*fleet
	trouble bool
	// quit is closed when background requests have to end.
	quit chan struct{}
	work sync.WaitGroup
	// routes are those with traffic.
	routes  []route
	fillers []route
	edges   []*process
	agents  map[string]*process
	next    int
	mu      sync.Mutex
}

var cases = map[string]func(*env) error{
	"large-entries": largeEntries,
	"foreign-entry": foreignEntry,
	"moved-store":   movedStore,
	"silent-store":  silentStore,
	"partial-entry": partialEntry,
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", ".", "folder of the record")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return failed
	}
	if _, err := os.Stat(filepath.Join(*root, "target/peridotstall")); err != nil {
		fmt.Fprintln(os.Stderr, "the program is not built:", err)
		return failed
	}
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	f, err := newFleet(*root, tmp, rec, []string{"zone-a", "zone-b", "zone-c", "zone-d"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	e := &env{fleet: f, trouble: os.Getenv("TROUBLE") != "0", quit: make(chan struct{}), agents: map[string]*process{}}
	result := make(chan error, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if err := e.setUp(); err != nil {
			result <- err
			return
		}
		result <- play(e)
	}()
	select {
	case err = <-result:
	case <-time.After(maxRun):
		err = fmt.Errorf("the case took longer than %s", maxRun)
	case s := <-signals:
		err = fmt.Errorf("ended by %s", s)
	}
	close(e.quit)
	e.work.Wait()
	rec.note("end", "%v", err)
	rec.mu.Lock()
	violations, counts := len(rec.violations), fmt.Sprint(rec.counts)
	rec.line("counts", "%s", counts)
	for i, v := range rec.violations {
		if i < 5 {
			fmt.Println(v)
		}
	}
	rec.mu.Unlock()
	f.shutdown()
	fmt.Printf("trouble %v, %d violations, %s\n", e.trouble, violations, counts)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return failed
	case violations > 0:
		return broken
	}
	return held
}

// Sizes of the deployment: an edge machine in each zone, 7 targets of the shop and 4 of the intake.
const (
	shopTargets   = 7
	intakeTargets = 4
	slots         = 3
	fillerRoutes  = 110
	idleMs        = 12000
)

// setUp starts the deployment and light traffic, and waits until all machines are in touch.
func (e *env) setUp() error {
	e.routes = []route{{"r-shop", shop, e.host(1, 8443)}, {"r-intake", intake, e.host(2, 8443)}, {"r-extra", shop, e.host(3, 8080)}}
	for i := range fillerRoutes {
		e.fillers = append(e.fillers, route{fmt.Sprintf("r-unused-%05d", i), shop, e.host(4+i/60, uint16(10000+i))})
	}
	e.putConfig(1, e.config(1, e.routes), "first configuration")
	for z := range e.zones {
		p, err := e.startEdge(z, 1)
		if err != nil {
			return err
		}
		e.edges = append(e.edges, p)
	}
	for i := range shopTargets + intakeTargets {
		service := shop
		if i >= shopTargets {
			service = intake
		}
		p, t, err := e.startSide(i%len(e.zones), 1+i/len(e.zones), service, slots)
		if err != nil {
			return err
		}
		e.agents[t.id] = p
	}
	for _, p := range e.edges {
		if err := e.waitRotation(p.name); err != nil {
			return err
		}
	}
	for z := range e.zones {
		if _, err := e.requester(z); err != nil {
			return err
		}
	}
	for z := range e.zones {
		e.background(z)
	}
	time.Sleep(contact + 2*time.Second)
	return nil
}

// config returns a configuration, with routes that see no traffic.
func (e *env) config(version int, routes []route) []byte {
	return config(version, idleMs, routes, []string{shop, intake}, e.fillers)
}

func (e *env) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	return fmt.Sprintf("q-%06d", e.next)
}

// background sends light traffic of a zone: a flow each request.
func (e *env) background(zone int) {
	q, _ := e.requester(zone)
	e.work.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-e.quit:
				return
			case <-ticker.C:
			}
			r := e.routes[n%2]
			e.work.Go(func() { e.single(q, r) })
		}
	})
}

// single sends one request on a flow of its own and returns the flow, or nil.
func (e *env) single(q *requester, r route) (*flow, string, error) {
	id := e.id()
	sentAt := e.rec.now()
	f, err := q.open(r.name, r.at)
	if err != nil {
		e.rec.outcome(sentAt, false)
		e.rec.note("failed", "%s on route %s: %v", id, r.name, err)
		return nil, id, err
	}
	err = f.request(id, requestTimeout)
	e.rec.outcome(sentAt, err == nil)
	if err != nil {
		e.rec.note("failed", "%s on %s: %v", id, f.key, err)
	}
	f.close()
	return f, id, err
}

// longFlows opens flows and sends a first request on each.
func (e *env) longFlows(zone, count int, r route) ([]*flow, error) {
	q, err := e.requester(zone)
	if err != nil {
		return nil, err
	}
	var out []*flow
	for range count {
		f, err := q.open(r.name, r.at)
		if err != nil {
			e.rec.note("failed", "long flow on route %s: %v", r.name, err)
			continue
		}
		if err := f.request(e.id(), requestTimeout); err != nil {
			e.rec.note("failed", "first request on %s: %v", f.key, err)
			continue
		}
		out = append(out, f)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no long flow opened")
	}
	return out, nil
}

// keepUsing sends a request a second on each flow, for a time.
func (e *env) keepUsing(flows []*flow, d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i, f := range flows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(len(flows)))
			for time.Now().Before(end) {
				if err := f.request(e.id(), requestTimeout); err != nil {
					e.rec.note("failed", "%s: %v", f.key, err)
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	wg.Wait()
}

// restart kills processes and starts them again after a short delay.
func (e *env) restart(delay time.Duration, list ...*process) error {
	for _, p := range list {
		e.signal(p, syscall.SIGKILL)
	}
	for _, p := range list {
		<-p.exited
	}
	time.Sleep(delay)
	for _, p := range list {
		if err := e.start(p); err != nil {
			return err
		}
	}
	return nil
}
