package segnode

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against control messages that grow unnoticed. docs/CAPACITY.md
// computes the control traffic from these sizes.
func TestControlMessageSizes(t *testing.T) {
	c := qt.New(t)
	age := uint64(900)
	peer := "10.255.255.255:65535"
	digest := &schema.LinkDigest{Incarnation: 1 << 63, RoutesVersion: 1 << 20, TargetsRevision: 1 << 30, ContactAgeMs: &age,
		Reading: true, Zone: "zone-name", Capacity: 20000, Serving: true, TargetsEpoch: 1 << 20, Retaining: true, EvacuationsEpoch: 1 << 20, EvacuationsRevision: 1 << 30}
	statement := &schema.LinkEvacuation{Epoch: 1 << 20, Revision: 1 << 30, Evacuated: true}
	sizes := map[string]int{
		"ping": proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: 100, ServiceTag: 60000, ReportIntervalMs: 2000}}}),
		"load": proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: 60000, Pending: 200,
			MeanPendingMilli: 200000, Complete: true, FailingMilli: 500, ServiceMicros: 100000, ExcludedShares: 1 << 31}}}),
		"query": proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Query{Query: &schema.LinkQuery{Flow: make([]byte, 12)}}}),
	}
	sizes["naming load"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: 60000, Pending: 200,
		MeanPendingMilli: 200000, Complete: true, FailingMilli: 500, ServiceMicros: 100000, ExcludedShares: 1 << 31,
		Identity: &schema.LinkIdentity{ServiceHash: 1 << 31, Port: 65535}}}})
	sizes["described ping"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: 100, ServiceTag: 60000, ReportIntervalMs: 2000,
		Target: &schema.LinkTarget{PatienceMs: 60000, BornUnixMs: 1 << 41, IdleMs: 120000, FlowsWanted: true, KnownMs: 1 << 24, RoutesVersion: 1 << 20}}}})
	sizes["evacuation ping"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: 100, ServiceTag: 60000, ReportIntervalMs: 2000,
		Evacuation: statement}}})
	sizes["evacuated load"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: 60000, Pending: 200,
		MeanPendingMilli: 200000, Complete: true, FailingMilli: 500, ServiceMicros: 100000, ExcludedShares: 1 << 31, Evacuated: true, OpenFlows: 2000}}})
	sizes["negative reply"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Denial{Denial: &schema.LinkDenial{Flow: make([]byte, 12)}}})
	sizes["digest"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Digest{Digest: digest}})
	digest.Peers = append(digest.Peers, peer)
	sizes["peer in a digest"] = proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Digest{Digest: digest}}) - sizes["digest"]
	t.Log(sizes)
	for name, limit := range map[string]int{"ping": 12, "evacuation ping": 28, "evacuated load": 40, "described ping": 40, "load": 32, "naming load": 40, "query": 20, "negative reply": 20, "digest": 64, "peer in a digest": 24} {
		c.Check(sizes[name] <= limit, qt.IsTrue, qt.Commentf("%s: %d bytes", name, sizes[name]))
	}
}
