package balancer

import (
	"net"
	"net/netip"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/relay"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// maxConnections limits the relayed connections of a balancer. Each connection
// uses two file descriptors and two goroutines.
const maxConnections = 16384

// streamListener accepts the connections of a service of mode TCP.
type streamListener struct {
	listener net.Listener
	address  string
}

// openStream binds the TCP address of a service and accepts its connections in a
// new goroutine.
func (b *Balancer) openStream(service *schema.Service) {
	bind := b.bindAddress(service.GetAddress())
	if bind == "" {
		return
	}
	listener, err := net.Listen("tcp", bind)
	if err != nil {
		b.options.Logger.Log(telemetry.ListenerFailed, "service", service.GetId(), "error", err)
		return
	}
	b.streams[service.GetId()] = &streamListener{listener: listener, address: service.GetAddress()}
	go func() {
		if err := b.relay.Serve(listener, service.GetId()); err != nil {
			b.options.Logger.Log(telemetry.ListenerFailed, "service", service.GetId(), "error", err)
		}
	}()
}

// chooseStream returns the first usable candidate for a connection that is not in
// tried. An agent accepts relayed connections on the TCP port with the number of
// its frame socket.
func (b *Balancer) chooseStream(service uint32, caller netip.AddrPort, tried []uint32) (relay.Target, *errkind.Error) {
	routes := b.routes.Load()
	agent, ok := routes.Stream(placement.Key{Service: service, Caller: caller}, tried)
	if !ok {
		return relay.Target{}, errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%d targets tried", len(tried))
	}
	return relay.Target{
		ID:       agent.Target,
		Address:  agent.Address.String(),
		Revision: routes.Snapshot().Revision(),
	}, nil
}
