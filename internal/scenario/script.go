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

// settleDelay is longer than the window after their start in which agents query
// other agents before they open a flow.
const settleDelay = 20 * time.Second

// Script is the state of one script, on which its commands run.
type Script struct {
	sim  *simulation
	seed uint64
}

// Command runs one command with its arguments and returns its output.
type Command func(s *Script, args []string) (string, error)

// Commands are the commands of the scenario language by name; docs/scenarios.md
// describes them.
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

// options separates "key=value" arguments from the others.
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

func intOption(values map[string]string, key string, fallback int) (int, error) {
	text, ok := values[key]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrapf(err, "option %s", key)
}

// intOptions reads the options that defaults names, with its values for missing
// ones.
func intOptions(values map[string]string, defaults map[string]int) (map[string]int, error) {
	out := map[string]int{}
	for key, fallback := range defaults {
		n, err := intOption(values, key, fallback)
		if err != nil {
			return nil, err
		}
		out[key] = n
	}
	return out, nil
}

// fleet [targets=N] [balancers=N] [seed=N] [slots=N] [action=open|unknown]
// [policy=candidates|plainhash] [-MECHANISM...] starts a fleet and advances the time
// by settleDelay. A mechanism with a minus sign is disabled.
func (s *Script) fleet(args []string) (string, error) {
	values, rest := options(args)
	n, err := intOptions(values, map[string]int{"targets": 4, "balancers": 3, "seed": 1, "slots": 3})
	if err != nil {
		return "", err
	}
	s.seed = uint64(n["seed"])
	s.sim = newSimulation(s.seed)
	action := schema.TimeoutAction_OPEN_ON_TIMEOUT
	if values["action"] == "unknown" {
		action = schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME
	}
	policy := route.Candidates
	if values["policy"] == "plainhash" {
		policy = route.PlainHash
	}
	f := newFleet(s.sim, policy, action, uint32(n["slots"]))
	for _, mechanism := range rest {
		f.disabled[strings.TrimPrefix(mechanism, "-")] = true
	}
	s.sim.fleet = f
	s.sim.callers = newCallers(s.sim)
	if err := f.start(n["targets"], n["balancers"]); err != nil {
		return "", err
	}
	s.sim.advance(settleDelay)
	return fmt.Sprintf("seed %d", s.seed), nil
}

// network [loss=SHARE] [twice=SHARE] sets the shares of packets that links lose and
// duplicate.
func (s *Script) network(args []string) (string, error) {
	values, _ := options(args)
	for key, target := range map[string]*float64{"loss": &s.sim.lossRate, "twice": &s.sim.duplicateRate} {
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

// open N [BALANCER] opens plain flows through the balancer or random ones.
func (s *Script) open(args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", errors.Wrap(err, "number of flows")
	}
	s.sim.callers.openFlows(n, strings.Join(args[1:], ""))
	return "", nil
}

// send [BALANCER] sends a packet on every plain flow.
func (s *Script) send(args []string) (string, error) {
	s.sim.callers.sendAll(strings.Join(args, ""))
	return "", nil
}

// request N [class=CLASS] [deadline=DURATION] [size=BYTES] starts requests.
func (s *Script) request(args []string) (string, error) {
	values, rest := options(args)
	n, err := strconv.Atoi(rest[0])
	if err != nil {
		return "", errors.Wrap(err, "number of requests")
	}
	size, err := intOption(values, "size", 100)
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
	s.sim.callers.startRequests(n, class, deadline, size)
	return "", nil
}

// session N opens sessions.
func (s *Script) session(args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", errors.Wrap(err, "number of sessions")
	}
	s.sim.callers.openSessions(n)
	return "", nil
}

// message sends a message on every open session.
func (s *Script) message([]string) (string, error) {
	s.sim.callers.sendMessages()
	return "", nil
}

// advance DURATION advances the virtual time.
func (s *Script) advance(args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	s.sim.advance(d)
	return "", nil
}

// publish [PROCESS...] increments the revision and applies the configuration at the
// named or all running processes.
func (s *Script) publish(args []string) (string, error) {
	s.sim.fleet.config.Revision++
	return "", s.sim.fleet.publish(args)
}

// sync PROCESS... applies the configuration at processes under the current revision.
func (s *Script) sync(args []string) (string, error) {
	return "", s.sim.fleet.publish(args)
}

// target add|retire|restore N changes the configuration that is published next.
func (s *Script) target(args []string) (string, error) {
	id, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	f := s.sim.fleet
	switch args[0] {
	case "add":
		f.addTarget(uint32(id))
		f.startAgent(uint32(id))
	case "retire":
		f.retireTarget(uint32(id))
	case "restore":
		f.restoreTarget(uint32(id))
	default:
		return "", errors.Errorf("unknown change %q", args[0])
	}
	return "", nil
}

// believe HOST live|leaving|dead [PROCESS...] sets the state of a host in the views
// of the named or all running processes.
func (s *Script) believe(args []string) (string, error) {
	states := map[string]schema.HostState{
		"live": schema.HostState_LIVE, "leaving": schema.HostState_LEAVING, "dead": schema.HostState_DEAD,
	}
	state, ok := states[args[1]]
	if !ok {
		return "", errors.Errorf("unknown state %q", args[1])
	}
	s.sim.fleet.setHostState(args[2:], args[0], state)
	return "", nil
}

// cut A [B] cuts the link between two processes, or all links of one.
func (s *Script) cut(args []string) (string, error) {
	if len(args) == 2 {
		s.sim.cutLinks[newLink(args[0], args[1])] = true
		return "", nil
	}
	for _, other := range append(s.sim.order, "caller") {
		if other != args[0] {
			s.sim.cutLinks[newLink(args[0], other)] = true
		}
	}
	return "", nil
}

// heal restores all cut links.
func (s *Script) heal([]string) (string, error) {
	clear(s.sim.cutLinks)
	return "", nil
}

// each calls f for the named processes.
func (s *Script) each(args []string, f func(name string, p *processState)) (string, error) {
	for _, name := range args {
		p := s.sim.processes[name]
		if p == nil {
			return "", errors.Errorf("unknown process %q", name)
		}
		f(name, p)
	}
	return "", nil
}

// pause PROCESS... pauses processes, as SIGSTOP does.
func (s *Script) pause(args []string) (string, error) {
	return s.each(args, func(_ string, p *processState) { p.paused = true })
}

// resume PROCESS... resumes paused processes.
func (s *Script) resume(args []string) (string, error) {
	return s.each(args, func(name string, _ *processState) { s.sim.resume(name) })
}

// crash PROCESS... kills processes.
func (s *Script) crash(args []string) (string, error) {
	return s.each(args, func(_ string, p *processState) { p.dead = true })
}

// start agent N | start balancer starts a process with the current configuration.
func (s *Script) start(args []string) (string, error) {
	f := s.sim.fleet
	if args[0] == "balancer" {
		f.startBalancer()
		return "", f.publish([]string{f.balancers[len(f.balancers)-1].id})
	}
	id, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	f.startAgent(uint32(id))
	return "", f.publish([]string{f.agents[uint32(id)].name()})
}

// drain N [off] starts or ends the drain of a target.
func (s *Script) drain(args []string) (string, error) {
	id, err := strconv.ParseUint(args[0], 10, 32)
	if err != nil {
		return "", errors.Wrap(err, "target")
	}
	s.sim.fleet.agents[uint32(id)].setDraining(len(args) == 1)
	return "", nil
}

// confirm PROCESS... signals to agents that a peer confirmed their revision.
func (s *Script) confirm(args []string) (string, error) {
	return s.each(args, func(_ string, p *processState) {
		if a, ok := p.process.(*agent); ok {
			a.flows.RevisionConfirmed(s.sim.now)
		}
	})
}

// expect FIGURE OPERATOR NUMBER fails unless the comparison holds. The figures are
// those of simulation.figures.
func (s *Script) expect(args []string) (string, error) {
	if len(args) != 3 {
		return "", errors.New("usage: expect FIGURE OPERATOR NUMBER")
	}
	figures := s.sim.figures()
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
