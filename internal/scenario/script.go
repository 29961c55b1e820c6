package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// settleTime is above the window in which agents ask others after their start.
const settleTime = 20 * time.Second

// Script carries out the commands of one script.
type Script struct {
	world *world
	seed  uint64
}

// Command carries out one command and returns what it prints.
type Command func(s *Script, args []string) (string, error)

// Commands are the words of the scenario language; docs/scenarios.md explains them.
var Commands = map[string]Command{
	"fleet":   (*Script).fleet,
	"network": (*Script).network,
	"open":    (*Script).open,
	"send":    (*Script).send,
	"request": (*Script).request,
	"session": (*Script).session,
	"message": (*Script).message,
	"advance": (*Script).advance,
	"publish": (*Script).publish,
	"sync":    (*Script).sync,
	"target":  (*Script).target,
	"believe": (*Script).believe,
	"cut":     (*Script).cut,
	"heal":    (*Script).heal,
	"pause":   (*Script).pause,
	"resume":  (*Script).resume,
	"crash":   (*Script).crash,
	"start":   (*Script).start,
	"drain":   (*Script).drain,
	"confirm": (*Script).confirm,
	"expect":  (*Script).expect,
}

// options splits "key=value" arguments from the others.
func options(args []string) (map[string]string, []string) {
	values := map[string]string{}
	var rest []string
	for _, arg := range args {
		if key, value, ok := strings.Cut(arg, "="); ok {
			values[key] = value
		} else {
			rest = append(rest, arg)
		}
	}
	return values, rest
}

func number(values map[string]string, key string, otherwise int) (int, error) {
	text, ok := values[key]
	if !ok {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrapf(err, "option %s", key)
}

// numbers reads several options; a zero value means the default.
func numbers(values map[string]string, defaults map[string]int) (map[string]int, error) {
	out := map[string]int{}
	for key, otherwise := range defaults {
		n, err := number(values, key, otherwise)
		if err != nil {
			return nil, err
		}
		out[key] = n
	}
	return out, nil
}

// fleet [targets=N] [balancers=N] [seed=N] [slots=N] [action=open|unknown]
// [policy=candidates|plainhash] [-MECHANISM...] starts a fleet and waits until it
// is settled. A mechanism with a minus sign is switched off.
func (s *Script) fleet(args []string) (string, error) {
	values, rest := options(args)
	n, err := numbers(values, map[string]int{"targets": 4, "balancers": 3, "seed": 1, "slots": 3})
	if err != nil {
		return "", err
	}
	s.seed = uint64(n["seed"])
	s.world = newWorld(s.seed)
	action := schema.TimeoutAction_OPEN_ON_TIMEOUT
	if values["action"] == "unknown" {
		action = schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME
	}
	policy := route.Candidates
	if values["policy"] == "plainhash" {
		policy = route.PlainHash
	}
	f := newFleet(s.world, policy, action, uint32(n["slots"]))
	for _, mechanism := range rest {
		f.disabled[strings.TrimPrefix(mechanism, "-")] = true
	}
	s.world.fleet = f
	s.world.callers = newCallers(s.world)
	if err := f.start(n["targets"], n["balancers"]); err != nil {
		return "", err
	}
	s.world.advance(settleTime)
	return fmt.Sprintf("seed %d", s.seed), nil
}

// network loss=0.1 twice=0.1
func (s *Script) network(args []string) (string, error) {
	values, _ := options(args)
	for key, target := range map[string]*float64{"loss": &s.world.loss, "twice": &s.world.twice} {
		if text, ok := values[key]; ok {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return "", errors.Wrapf(err, "option %s", key)
			}
			*target = value
		}
	}
	return "", nil
}

// open N [BALANCER] opens plain flows.
func (s *Script) open(args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", errors.Wrap(err, "number of flows")
	}
	s.world.callers.open(n, strings.Join(args[1:], ""))
	return "", nil
}

// send [BALANCER] sends a packet on every flow.
func (s *Script) send(args []string) (string, error) {
	s.world.callers.sendAll(strings.Join(args, ""))
	return "", nil
}

// request N class=CLASS deadline=DURATION size=BYTES
func (s *Script) request(args []string) (string, error) {
	values, rest := options(args)
	n, err := strconv.Atoi(rest[0])
	if err != nil {
		return "", errors.Wrap(err, "number of requests")
	}
	size, err := number(values, "size", 100)
	if err != nil {
		return "", err
	}
	deadline := 10 * time.Second
	if text, ok := values["deadline"]; ok {
		if deadline, err = time.ParseDuration(text); err != nil {
			return "", err
		}
	}
	class := values["class"]
	if class == "" {
		class = "bid"
	}
	s.world.callers.start(n, class, deadline, size)
	return "", nil
}

// session N opens sessions.
func (s *Script) session(args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", errors.Wrap(err, "number of sessions")
	}
	s.world.callers.openSessions(n)
	return "", nil
}

// message sends a message on every open session.
func (s *Script) message([]string) (string, error) {
	s.world.callers.message()
	return "", nil
}

// advance DURATION lets time pass.
func (s *Script) advance(args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	s.world.advance(d)
	return "", nil
}

// publish [PROCESS...] puts the next revision in force at some or all processes.
func (s *Script) publish(args []string) (string, error) {
	s.world.fleet.config.Revision++
	return "", s.world.fleet.publish(args)
}

// sync PROCESS... puts the present revision in force at processes.
func (s *Script) sync(args []string) (string, error) {
	return "", s.world.fleet.publish(args)
}

// target add|retire|restore N changes the configuration that is published next.
func (s *Script) target(args []string) (string, error) {
	id, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	f := s.world.fleet
	switch args[0] {
	case "add":
		f.addTarget(uint32(id))
		f.startAgent(uint32(id))
	case "retire":
		f.retire(uint32(id))
	case "restore":
		f.restore(uint32(id))
	default:
		return "", errors.Errorf("unknown change %q", args[0])
	}
	return "", nil
}

// believe HOST live|leaving|dead [PROCESS...] sets what processes believe.
func (s *Script) believe(args []string) (string, error) {
	states := map[string]schema.HostState{
		"live": schema.HostState_LIVE, "leaving": schema.HostState_LEAVING, "dead": schema.HostState_DEAD,
	}
	state, ok := states[args[1]]
	if !ok {
		return "", errors.Errorf("unknown state %q", args[1])
	}
	s.world.fleet.believe(args[2:], args[0], state)
	return "", nil
}

// cut A B cuts the link between two processes; "cut A" cuts all links of one.
func (s *Script) cut(args []string) (string, error) {
	if len(args) == 2 {
		s.world.cuts[newLink(args[0], args[1])] = true
		return "", nil
	}
	for _, other := range append(s.world.names, "caller") {
		if other != args[0] {
			s.world.cuts[newLink(args[0], other)] = true
		}
	}
	return "", nil
}

// heal restores all links.
func (s *Script) heal([]string) (string, error) {
	clear(s.world.cuts)
	return "", nil
}

// each runs f for the named processes.
func (s *Script) each(args []string, f func(name string, p *slot)) (string, error) {
	for _, name := range args {
		p := s.world.slots[name]
		if p == nil {
			return "", errors.Errorf("no process %q", name)
		}
		f(name, p)
	}
	return "", nil
}

// pause PROCESS... stops processes without ending them.
func (s *Script) pause(args []string) (string, error) {
	return s.each(args, func(_ string, p *slot) { p.paused = true })
}

// resume PROCESS... wakes paused processes.
func (s *Script) resume(args []string) (string, error) {
	return s.each(args, func(name string, _ *slot) { s.world.resume(name) })
}

// crash PROCESS... ends processes at once.
func (s *Script) crash(args []string) (string, error) {
	return s.each(args, func(_ string, p *slot) { p.dead = true })
}

// start agent N | start balancer starts a process with the present configuration.
func (s *Script) start(args []string) (string, error) {
	f := s.world.fleet
	if args[0] == "balancer" {
		f.startBalancer()
		return "", f.publish([]string{f.balancers[len(f.balancers)-1].label})
	}
	id, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	f.startAgent(uint32(id))
	return "", f.publish([]string{f.agents[uint32(id)].name()})
}

// drain N [off] makes the agent of a target leave.
func (s *Script) drain(args []string) (string, error) {
	id, err := strconv.ParseUint(args[0], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	s.world.fleet.agents[uint32(id)].drain(len(args) == 1)
	return "", nil
}

// confirm tells agents that a peer confirmed their revision.
func (s *Script) confirm(args []string) (string, error) {
	return s.each(args, func(_ string, p *slot) {
		if a, ok := p.process.(*agent); ok {
			a.flows.Confirmed(s.world.now)
		}
	})
}

// expect FIGURE OPERATOR NUMBER compares a figure; see measure.
func (s *Script) expect(args []string) (string, error) {
	if len(args) != 3 {
		return "", errors.New("usage: expect FIGURE OPERATOR NUMBER")
	}
	figures := s.world.measure()
	got, ok := figures[args[0]]
	if !ok {
		return "", errors.Errorf("unknown figure %q", args[0])
	}
	want, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return "", errors.Wrap(err, "number")
	}
	holds := map[string]bool{
		"=": got == want, ">": got > want, "<": got < want, ">=": got >= want, "<=": got <= want,
	}
	result, ok := holds[args[1]]
	if !ok {
		return "", errors.Errorf("unknown operator %q", args[1])
	}
	line := fmt.Sprintf("%s is %g, want %s %g", args[0], got, args[1], want)
	if !result {
		return "", errors.Errorf("%s (seed %d); figures %v", line, s.seed, figures)
	}
	return line, nil
}
