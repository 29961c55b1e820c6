package control

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTB hides the *testing.T, so that newFleet does not make the test
// parallel.
type scriptTB struct{ testing.TB }

// scriptState holds the fleet of one script.
type scriptState struct {
	t     testing.TB
	fleet *fleet
}

// scriptCommands are the commands of the scripts, which docs/scenarios.md
// describes.
var scriptCommands = map[string]func(s *scriptState, args []string) error{
	"fleet":   (*scriptState).start,
	"service": (*scriptState).service,
	"publish": (*scriptState).publish,
	"await":   (*scriptState).await,
	"advance": (*scriptState).advance,
	"crash":   func(s *scriptState, args []string) error { return s.each(args, func(p *proc) { p.up = false }) },
	"start":   func(s *scriptState, args []string) error { return s.each(args, s.restart) },
	"pause":   func(s *scriptState, args []string) error { return s.each(args, func(p *proc) { p.paused = true }) },
	"resume":  func(s *scriptState, args []string) error { return s.each(args, func(p *proc) { p.paused = false }) },
	"split":   (*scriptState).split,
	"heal":    func(s *scriptState, _ []string) error { s.fleet.blocked = nil; return nil },
	"expect":  (*scriptState).expect,
}

// Each script in testdata guards against the failure described in its first
// comment.
func TestConfigurationScripts(t *testing.T) {
	commands := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, command := range scriptCommands {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := command(ts.Value("fleet").(*scriptState), args)
			if (err != nil) != neg {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commands,
		Setup: func(env *testscript.Env) error {
			env.Values["fleet"] = &scriptState{t: t}
			return nil
		},
	})
}

// start implements "fleet SIZE ZONES SEED": it starts a fleet and waits until it
// is ready.
func (s *scriptState) start(args []string) error {
	n, err := parseInts(args, 3)
	if err != nil {
		return err
	}
	s.fleet = newFleet(scriptTB{s.t}, uint64(n[2]), n[0], n[1])
	s.fleet.startAll()
	return nil
}

func parseInts(args []string, count int) ([]int, error) {
	if len(args) != count {
		return nil, fmt.Errorf("%d arguments, want %d", len(args), count)
	}
	var list []int
	for _, arg := range args {
		n, err := strconv.Atoi(arg)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

// restart starts a process with two configured peers, as in a deployment.
func (s *scriptState) restart(p *proc) {
	p.start(s.fleet.procs[0].addr, s.fleet.procs[1].addr)
}

// service implements "service up|down|stale". A stale service keeps responding
// with the configuration that was published last before the command.
func (s *scriptState) service(args []string) error {
	service := &s.fleet.service
	switch args[0] {
	case "up":
		service.up = true
		delete(service.staleTo, "*")
		service.answerWatches()
	case "down":
		service.up = false
	case "stale":
		service.stale = service.config
		service.staleTo["*"] = true
	default:
		return fmt.Errorf("unknown service state %q", args[0])
	}
	return nil
}

// publish implements "publish [N]": it publishes the next N revisions, 1 by
// default.
func (s *scriptState) publish(args []string) error {
	n := 1
	if len(args) == 1 {
		var err error
		if n, err = strconv.Atoi(args[0]); err != nil {
			return err
		}
	}
	for range n {
		s.fleet.service.publish()
	}
	return nil
}

// await implements "await REVISION LIMIT": it waits until the revision is in
// force at all running processes and fails after the limit.
func (s *scriptState) await(args []string) error {
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if took := s.fleet.runUntil(limit, s.fleet.inForceEverywhere(revision)); took > limit {
		return fmt.Errorf("revision %d is not in force everywhere after %v", revision, limit)
	}
	return nil
}

// advance implements "advance DURATION".
func (s *scriptState) advance(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.fleet.run(d)
	return nil
}

// each calls f for processes given by number, by a range such as 0-9, or by
// "all".
func (s *scriptState) each(args []string, f func(p *proc)) error {
	for _, arg := range args {
		first, last, isRange := strings.Cut(arg, "-")
		if arg == "all" {
			first, last, isRange = "0", strconv.Itoa(len(s.fleet.procs)-1), true
		}
		if !isRange {
			last = first
		}
		n, err := parseInts([]string{first, last}, 2)
		if err != nil {
			return err
		}
		for _, p := range s.fleet.procs[n[0] : n[1]+1] {
			f(p)
		}
	}
	return nil
}

// split implements "split N": it partitions the first N processes from the
// others.
func (s *scriptState) split(args []string) error {
	n, err := parseInts(args, 1)
	if err != nil {
		return err
	}
	inside := map[*proc]bool{}
	for _, p := range s.fleet.procs[:n[0]] {
		inside[p] = true
	}
	s.fleet.blocked = func(from, to *proc) bool { return inside[from] != inside[to] }
	return nil
}

// expect implements "expect kept", which fails if a revision in force ever
// decreased, and "expect ready N" and "expect waiting N", which compare the
// number of running processes in that state.
func (s *scriptState) expect(args []string) error {
	if args[0] == "kept" {
		if s.fleet.decrease != "" {
			return fmt.Errorf("a revision in force decreased: %s", s.fleet.decrease)
		}
		return nil
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	counts := map[string]int{"ready": 0, "waiting": 0}
	for _, p := range s.fleet.procs {
		if p.up && p.isReady {
			counts["ready"]++
		} else if p.up {
			counts["waiting"]++
		}
	}
	if counts[args[0]] != want {
		return fmt.Errorf("%d processes are %s, want %d", counts[args[0]], args[0], want)
	}
	return nil
}
