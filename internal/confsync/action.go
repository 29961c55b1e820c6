package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Action is something that the caller of the core must do.
type Action interface{ isAction() }

// Send sends a frame to a process.
type Send struct {
	To    netip.AddrPort
	Frame *schema.Frame
}

// ReadKind says what is read from the configuration service.
type ReadKind int

// Kinds of reads.
const (
	// ReadIndex reads the index, ReadParts the content of the index that was
	// read last, ReadHosts the host list.
	ReadIndex ReadKind = iota
	ReadParts
	ReadHosts
)

// Read reads from the configuration service and returns the result with the
// method of the kind.
type Read struct {
	Kind ReadKind
	// After is the revision or version already known.
	After uint64
	// Wait is the time that the service may wait for something newer.
	Wait time.Duration
}

// ConfigChanged reports that another configuration is in force.
type ConfigChanged struct{}

// HostsChanged reports another host list.
type HostsChanged struct{ Hosts *hostlist.Set }

// Rejected reports a configuration that the store did not accept.
type Rejected struct {
	Revision uint64
	Decision config.Decision
	// From is the name or address of the source.
	From string
	Err  error
}

// Ready reports that the revision is confirmed and the process may serve.
type Ready struct{}

// Unconfirmed reports that the process was paused and its revision is not
// confirmed any more; Ready follows when it is.
type Unconfirmed struct{}

// SyncEvents asks for the membership events to be sent to a peer that has others.
type SyncEvents struct{ To netip.AddrPort }

func (Send) isAction()          {}
func (Read) isAction()          {}
func (ConfigChanged) isAction() {}
func (HostsChanged) isAction()  {}
func (Rejected) isAction()      {}
func (Ready) isAction()         {}
func (Unconfirmed) isAction()   {}
func (SyncEvents) isAction()    {}
