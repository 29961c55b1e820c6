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

// maxConnections limits the relayed connections of an agent. In most
// configurations the connection limit of the target is lower.
const maxConnections = 16384

// maxBindAttempts limits the attempts to find a port that is free for both UDP
// and TCP when the system chooses the port.
const maxBindAttempts = 32

// bind binds the frame socket and, if a TCP backend server is configured, the TCP
// port of the same number.
func bind(o Options) (*tunnel.Socket, net.Listener, error) {
	address := o.Settings.GetCommon().GetControlAddress()
	anyPort := strings.HasSuffix(address, ":0")
	for attempt := 1; ; attempt++ {
		socket, err := tunnel.Listen(address, o.Metrics)
		if err != nil {
			return nil, nil, err
		}
		if o.Settings.GetBackendTcp() == "" {
			return socket, nil, nil
		}
		streamListener, err := net.Listen("tcp", socket.Local().String())
		if err == nil {
			return socket, streamListener, nil
		}
		socket.Close()
		if !anyPort || attempt == maxBindAttempts || !errors.Is(err, syscall.EADDRINUSE) {
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
		MaxConnections: maxConnections,
		Logger:         a.options.Logger,
		Metrics:        a.options.Metrics,
		Tracer:         a.options.Tracer,
	})
}

func (a *Agent) serveStreamListener() {
	if err := a.relay.Serve(a.streamListener); err != nil {
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
