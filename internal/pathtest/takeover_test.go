package pathtest

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/caller"
	"github.com/peridotstall/peridotstall/internal/agent"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// replaceAgent upgrades the agent of a target: a new process takes over from
// the running one.
func (f *fleet) replaceAgent(i int) {
	old := f.agents[i]
	address := old.Tunnel().Local().String()
	ctx, cancel := context.WithTimeout(f.ctx, conditionTimeout)
	defer cancel()
	state, err := old.HandOver(ctx)
	f.c.Assert(err, qt.IsNil)
	host := fmt.Sprintf("host%d", i+1)
	settings := &schema.AgentSettings{
		Common:     common(host),
		Target:     uint32(i + 1),
		BackendUdp: f.backends[i].UDP(),
		BackendUrl: f.backends[i].URL(),
	}
	settings.Common.ControlAddress = address
	successor, err := agent.New(agent.Options{
		Settings:    settings,
		Logger:      telemetry.Discard(),
		Metrics:     telemetry.NewMetrics(schema.Role_AGENT, host),
		Seed:        1,
		Incarnation: 77,
	})
	f.c.Assert(err, qt.IsNil)
	successor.SetPredecessor(state)
	successor.SetConfig(f.snapshot())
	go successor.Run(f.ctx)
	f.agents[i] = successor
}

// receiveText receives messages of a session until one ends with text, and
// returns what precedes the text in it.
func receiveText(c *qt.C, ctx context.Context, s *caller.Session, text string) string {
	for {
		data, err := s.Receive(ctx)
		c.Assert(err, qt.IsNil)
		if strings.HasSuffix(string(data), " "+text) {
			return strings.TrimSuffix(string(data), text)
		}
	}
}

// Guards against flows and sessions that break when an agent process is
// upgraded. The backend server must see the same source port afterwards.
func TestFlowsSurviveAgentUpgrade(t *testing.T) {
	f := newFleet(t, 1, 2)
	ctx, cancel := context.WithTimeout(f.ctx, conditionTimeout)
	defer cancel()
	var conns []*net.UDPConn
	var owners []string
	for range 10 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		f.c.Assert(err, qt.IsNil)
		defer conn.Close()
		conns = append(conns, conn)
		owners = append(owners, strings.TrimSuffix(f.exchange(conn, "a"), "a"))
	}
	client, err := caller.Dial(caller.Settings{
		Service:   netip.MustParseAddrPort("192.0.2.1:7002"),
		Balancers: f.addresses(requestService),
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Deadline:  conditionTimeout,
		Seed:      1,
	})
	f.c.Assert(err, qt.IsNil)
	defer client.Close()
	session, err := client.OpenSession(ctx, "payment")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(session.Send([]byte("first")), qt.IsNil)
	before := receiveText(f.c, ctx, session, "first")

	f.replaceAgent(0)

	for i, conn := range conns {
		f.c.Check(f.exchange(conn, "b"), qt.Equals, owners[i]+"b")
	}
	f.c.Assert(session.Send([]byte("second")), qt.IsNil)
	f.c.Check(receiveText(f.c, ctx, session, "second"), qt.Equals, before)
	_, err = client.Do(ctx, caller.Request{Class: "payment", Body: []byte("after"), Deadline: conditionTimeout})
	f.c.Check(err, qt.IsNil)
	f.c.Check(f.agents[0].Status().Flows, qt.Equals, int64(11))
}
