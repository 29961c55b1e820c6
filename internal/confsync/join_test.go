package confsync

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// staleConfig returns the configuration that a stale configuration service
// serves.
func staleConfig() *schema.Config {
	return &schema.Config{
		Revision: 3,
		HashKey:  []byte("0123456789abcdef"),
		Members:  []*schema.Member{{Name: "m", Weight: 1}},
	}
}

// Guards against a restarted process that serves the revision of a stale service
// because its peers are unreachable, or because a peer that is also joining has
// nothing higher (model accept, SILENCE_IS_ANSWER and JOINING_COUNTS).
func TestJoinRequiresServingPeer(t *testing.T) {
	cases := []struct {
		name    string
		answers map[int]*schema.RevisionNote
		joined  bool
	}{
		{"silence", nil, false},
		{"one joins, one is silent", map[int]*schema.RevisionNote{0: {}}, false},
		{"all are joining", map[int]*schema.RevisionNote{0: {}, 1: {}}, true},
		{"one serves", map[int]*schema.RevisionNote{0: {}, 1: {Serving: true, Revision: 3}}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, joins(t, test.answers), qt.Equals, test.joined)
		})
	}
}

// joins runs one process of a fleet of three for two minutes with the given
// replies of its peers and a service at revision 3, and reports whether it
// joined.
func joins(t *testing.T, replies map[int]*schema.RevisionNote) bool {
	peers := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	s := New(Settings{Host: "self", Peers: peers}, config.NewStore(time.Minute), noFailures{}, rand.New(rand.NewPCG(20261204, 0)))
	list := &schema.HostList{Version: 1, Hosts: []*schema.Host{
		{Name: "self", Zone: "z", Address: "10.0.0.3:1"},
		{Name: "one", Zone: "z", Address: peers[0].String()},
		{Name: "two", Zone: "z", Address: peers[1].String()},
	}}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 1200 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range s.Tick(now) {
			switch v := a.(type) {
			case Read:
				answerRead(s, now, v, list)
			case Send:
				replyToNote(s, now, v, peers, replies)
			}
		}
	}
	return s.Joined()
}

func answerRead(s *Syncer, now time.Time, r Read, list *schema.HostList) {
	switch r.Kind {
	case ReadHosts:
		s.HostsRead(now, list)
	case ReadIndex:
		s.IndexRead(now, &schema.Index{Revision: 3})
	default:
		s.ConfigRead(now, staleConfig())
	}
}

func replyToNote(s *Syncer, now time.Time, out Send, peers []netip.AddrPort, replies map[int]*schema.RevisionNote) {
	for i, peer := range peers {
		note := replies[i]
		if out.To != peer || note == nil || out.Frame.GetRevisionNote() == nil {
			continue
		}
		s.Receive(now, peer, &schema.Frame{Body: &schema.Frame_RevisionNote{RevisionNote: note}})
	}
}
