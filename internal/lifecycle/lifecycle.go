// Package lifecycle implements the state machine of a process: joining, serving,
// draining, stopped.
package lifecycle

import (
	"context"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
)

// State is the state of a process.
type State string

// Values of State.
const (
	// Joining is the state without a confirmed configuration. The process
	// serves nothing yet.
	Joining State = "joining"
	// Serving is the state in which the process admits new work.
	Serving State = "serving"
	// Draining is the state in which the process completes its work and admits
	// no new work.
	Draining State = "draining"
	// Stopped is the state in which all sockets are closed.
	Stopped State = "stopped"
)

// Events that change the state.
const (
	eventReady  = "ready"
	eventDrain  = "drain"
	eventResume = "resume"
	eventStop   = "stop"
)

// Machine is the state machine of one process. It is safe for concurrent use.
type Machine struct {
	fsm *fsm.FSM
}

// New returns a machine in state Joining. The machine calls onChange after each
// change of the state.
func New(onChange func(from, to State)) *Machine {
	joining, serving, draining, stopped := string(Joining), string(Serving), string(Draining), string(Stopped)
	return &Machine{fsm: fsm.NewFSM(joining, fsm.Events{
		{Name: eventReady, Src: []string{joining}, Dst: serving},
		{Name: eventDrain, Src: []string{joining, serving}, Dst: draining},
		{Name: eventResume, Src: []string{draining}, Dst: serving},
		{Name: eventStop, Src: []string{joining, serving, draining}, Dst: stopped},
	}, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			onChange(State(e.Src), State(e.Dst))
		},
	})}
}

// State returns the current state.
func (m *Machine) State() State {
	return State(m.fsm.Current())
}

// Ready changes the state from Joining to Serving. It is to be called after the
// first confirmed configuration, and has no effect in any other state, since the
// process may already be stopping.
func (m *Machine) Ready() error {
	if m.State() != Joining {
		return nil
	}
	return m.event(eventReady)
}

// Drain changes the state from Joining or Serving to Draining. It returns an
// error in any other state.
func (m *Machine) Drain() error {
	return m.event(eventDrain)
}

// Resume changes the state from Draining to Serving, for a host that is no
// longer leaving. It returns an error in any other state.
func (m *Machine) Resume() error {
	return m.event(eventResume)
}

// Stop changes the state to Stopped. It returns an error if the process has
// stopped already.
func (m *Machine) Stop() error {
	return m.event(eventStop)
}

func (m *Machine) event(name string) error {
	err := m.fsm.Event(context.Background(), name)
	return errors.Wrapf(err, "process state %s", m.State())
}
