package offer_test

import (
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Guards against malicious packets that crash an agent or a caller, cause a
// forbidden state transition or exceed the limits. The input is a list of packets,
// each preceded by one length byte.
func FuzzHostilePackets(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		sim := newSimulation(scenario{seed: 1, agents: 1, slots: 1, room: 3})
		machine := sim.agents[0].machine
		id, _ := sim.caller.Start(epoch, request.Call{Body: make([]byte, 3000), Deadline: epoch.Add(time.Minute)})
		for now := epoch; len(data) > 0; now = now.Add(500 * time.Millisecond) {
			length := min(int(data[0]), len(data)-1)
			packet, err := wire.DecodeCaller(data[1 : 1+length])
			data = data[1+length:]
			if err != nil {
				continue
			}
			if packet.Token != nil {
				packet.Token.Target = 1
				packet.Token.Incarnation = sim.incarnations[0]
			}
			machine.Handle(now, testPeer, testService, packet)
			machine.Tick(now)
			packet.RequestId = id
			sim.caller.Receive(now, packet)
			sim.caller.Tick(now)
			if s := machine.Stats(); s.Offers < 0 || s.Running > 1 || s.PendingBytes < 0 || s.Offers > 3+10 {
				t.Fatalf("limits exceeded: %+v", s)
			}
		}
	})
}
