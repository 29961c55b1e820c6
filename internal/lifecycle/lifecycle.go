// Package lifecycle holds the state of a process: joining, serving, draining,
// stopped.
package lifecycle

import (
	"context"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
)

// State is a stage of a process.
type State string

// Stages of a process.
const (
	// Joining processes have no confirmed configuration yet and serve nothing.
	Joining State = "joining"
	// Serving processes take new work.
	Serving State = "serving"
	// Draining processes finish their work and take no new one.
	Draining State = "draining"
	// Stopped processes have closed their sockets.
	Stopped State = "stopped"
)

// Events that change the stage.
const (
	eventReady  = "ready"
	eventDrain  = "drain"
	eventResume = "resume"
	eventStop   = "stop"
)

// Machine is the state of one process. It is safe for concurrent use.
type Machine struct {
	fsm *fsm.FSM
}

// New returns a machine in stage Joining. It calls onChange after each change.
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

// State returns the present stage.
func (m *Machine) State() State {
	return State(m.fsm.Current())
}

// Ready leaves Joining after the first confirmed configuration. It does nothing
// when a stop was begun before.
func (m *Machine) Ready() error {
	if m.State() != Joining {
		return nil
	}
	return m.event(eventReady)
}

// Drain begins a stop.
func (m *Machine) Drain() error {
	return m.event(eventDrain)
}

// Resume takes new work again, for a host that was leaving and stays.
func (m *Machine) Resume() error {
	return m.event(eventResume)
}

// Stop ends the process.
func (m *Machine) Stop() error {
	return m.event(eventStop)
}

func (m *Machine) event(name string) error {
	err := m.fsm.Event(context.Background(), name)
	return errors.Wrapf(err, "process state %s", m.State())
}
