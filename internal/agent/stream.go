package agent

import (
	"net"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/relay"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/tunnel"
)

// maxStreams bounds the relayed connections of an agent; the connections of the
// target are a lower limit in most configurations.
const maxStreams = 16384

// bindTries bounds the attempts to find a port that is free for UDP and TCP, when
// the system chooses it.
const bindTries = 32

// bind binds the frame socket and, when the backend server takes connections,
// the TCP port of the same number.
func bind(o Options) (*tunnel.Socket, net.Listener, error) {
	address := o.Settings.GetCommon().GetControlAddress()
	chosen := strings.HasSuffix(address, ":0")
	for try := 1; ; try++ {
		socket, err := tunnel.Listen(address, o.Metrics)
		if err != nil {
			return nil, nil, err
		}
		if o.Settings.GetBackendTcp() == "" {
			return socket, nil, nil
		}
		streams, err := net.Listen("tcp", socket.Local().String())
		if err == nil {
			return socket, streams, nil
		}
		socket.Close()
		if !chosen || try == bindTries || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, errors.Wrapf(err, "bind TCP address %s", socket.Local())
		}
	}
}

func (a *Agent) newRelay() *relay.Agent {
	return relay.NewAgent(relay.AgentSettings{
		Backend:        a.options.Settings.GetBackendTcp(),
		Admit:          a.admitStream,
		Release:        a.releaseStream,
		Serves:         a.servesStream,
		MaxConnections: maxStreams,
		Logger:         a.options.Logger,
		Metrics:        a.options.Metrics,
		Tracer:         a.options.Tracer,
	})
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
