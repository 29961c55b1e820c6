package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/relay"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// maxStreams bounds the relayed connections of an agent; the connections of the
// target are a lower limit in most configurations.
const maxStreams = 16384

// listenStreams binds the TCP port with the number of the frame socket, when
// the backend server takes connections.
func (a *Agent) listenStreams() error {
	backend := a.options.Settings.GetBackendTcp()
	if backend == "" {
		return nil
	}
	listener, err := net.Listen("tcp", a.tunnel.Local().String())
	if err != nil {
		return errors.Wrapf(err, "bind TCP address %s", a.tunnel.Local())
	}
	a.streams = listener
	a.relay = relay.NewAgent(relay.AgentSettings{
		Backend:        backend,
		Admit:          a.admitStream,
		Release:        a.releaseStream,
		Serves:         a.servesStream,
		MaxConnections: maxStreams,
		Logger:         a.options.Logger,
		Metrics:        a.options.Metrics,
		Tracer:         a.options.Tracer,
	})
	return nil
}

func (a *Agent) serveStreams() {
	if err := a.relay.Serve(a.streams); err != nil {
		a.options.Logger.Log(telemetry.ListenerFailed, "service", "TCP relay", "error", err)
	}
}

func (a *Agent) admitStream(service uint32, _ netip.AddrPort) *errkind.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.OpenFlow(time.Now(), a.view.member(service), "")
}

func (a *Agent) releaseStream(service uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.CloseFlow(a.view.member(service), "")
}

// servesStream reports whether the target serves a service of mode TCP.
func (a *Agent) servesStream(service uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view != nil && a.view.services[service].GetMode() == schema.Mode_TCP
}
