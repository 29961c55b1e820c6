package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Action is an effect that the caller of the Syncer carries out.
type Action interface{ isAction() }

// Send sends a frame to a process.
type Send struct {
	To    netip.AddrPort
	Frame *schema.Frame
}

// ReadKind selects what is read from the configuration service.
type ReadKind int

// Kinds of reads. ReadIndex reads the index, ReadParts the content of the index
// that was read last, ReadHosts the host list.
const (
	ReadIndex ReadKind = iota
	ReadParts
	ReadHosts
)

// Read requests a read from the configuration service. The result is passed to
// IndexRead, ConfigRead or HostsRead, an error to ReadFailed.
type Read struct {
	Kind ReadKind
	// After is the revision or version that the process already has.
	After uint64
	// Wait is the time for which the service may hold the call until something
	// newer is published.
	Wait time.Duration
}

// ConfigChanged reports a new configuration in force.
type ConfigChanged struct{}

// HostsChanged reports a new host list.
type HostsChanged struct{ Hosts *hostlist.Set }

// Rejected reports a configuration or host list that was not accepted.
type Rejected struct {
	Revision uint64
	Decision config.Decision
	// From is the name or address of the source.
	From string
	Err  error
}

// Ready reports that the revision is confirmed and the process may serve.
type Ready struct{}

// Unconfirmed reports that the process was paused and its revision is no longer
// confirmed. Ready follows once it is confirmed again.
type Unconfirmed struct{}

// SyncEvents requests that the membership events be sent to a peer whose event
// digest differs.
type SyncEvents struct{ To netip.AddrPort }

func (Send) isAction()          {}
func (Read) isAction()          {}
func (ConfigChanged) isAction() {}
func (HostsChanged) isAction()  {}
func (Rejected) isAction()      {}
func (Ready) isAction()         {}
func (Unconfirmed) isAction()   {}
func (SyncEvents) isAction()    {}
