package telemetry

import (
	"github.com/charmbracelet/log"
)

// Event is an entry of the catalogue of log events. Operators' alerts refer to
// the number, so a number is never reused for another meaning.
type Event struct {
	// Number identifies the event.
	Number int
	// Level is the level at which the event is logged.
	Level log.Level
	// Name is the number's readable form.
	Name string
	// Message is the text for people.
	Message string
	// Fields are the keys that come with the event, in order.
	Fields []string
	// Limited events are logged with LogLimited, because a flood of packets
	// would otherwise become a flood of log lines.
	Limited bool
}

// Events of the process: 100 to 199.
var (
	ProcessStarted = Event{Number: 100, Level: log.InfoLevel, Name: "process_started",
		Message: "process started", Fields: []string{"role", "host", "zone"}}
	ProcessReady = Event{Number: 101, Level: log.InfoLevel, Name: "process_ready",
		Message: "process is serving", Fields: []string{"role", "revision"}}
	StopBegun = Event{Number: 102, Level: log.InfoLevel, Name: "stop_begun",
		Message: "graceful shutdown begun", Fields: []string{"reason", "limit"}}
	Stopped = Event{Number: 103, Level: log.InfoLevel, Name: "stopped",
		Message: "process stopped", Fields: []string{"cut_flows", "cut_requests"}}
	ClockJump = Event{Number: 110, Level: log.WarnLevel, Name: "clock_jump",
		Message: "process was paused; offers and queued openings are dropped", Fields: []string{"jump"}}
)

// StateError reports a step of a stop that failed.
var StateError = Event{Number: 111, Level: log.ErrorLevel, Name: "state_error",
	Message: "a step of the process state failed", Fields: []string{"error"}}

// Events of the configuration: 200 to 299.
var (
	ConfigAccepted = Event{Number: 200, Level: log.InfoLevel, Name: "config_accepted",
		Message: "configuration accepted", Fields: []string{"revision", "previous"}}
	ConfigLower = Event{Number: 201, Level: log.WarnLevel, Name: "config_rejected_lower",
		Message: "configuration rejected: lower revision", Fields: []string{"revision", "current", "source"}}
	ConfigConflict = Event{Number: 202, Level: log.ErrorLevel, Name: "config_rejected_conflict",
		Message: "configuration rejected: same revision with another digest",
		Fields:  []string{"revision", "current_digest", "source"}}
	ConfigInvalid = Event{Number: 203, Level: log.ErrorLevel, Name: "config_rejected_invalid",
		Message: "configuration rejected: invalid content", Fields: []string{"revision", "faults", "source"}}
	ConfigServiceUnreachable = Event{Number: 204, Level: log.WarnLevel, Name: "config_service_unreachable",
		Message: "configuration service is unreachable", Fields: []string{"url", "error"}}
	ConfigServiceReachable = Event{Number: 205, Level: log.InfoLevel, Name: "config_service_reachable",
		Message: "configuration service is reachable again", Fields: []string{"url", "outage"}}
)

// ListenerFailed reports a service address that this host cannot bind.
var ListenerFailed = Event{Number: 210, Level: log.ErrorLevel, Name: "listener_failed",
	Message: "service address cannot be bound; trying again", Fields: []string{"service", "error"}}

// Events of the membership: 300 to 399.
var (
	HostDead = Event{Number: 300, Level: log.WarnLevel, Name: "host_dead",
		Message: "host is considered failed", Fields: []string{"failed_host", "incarnation"}}
	HostBack = Event{Number: 301, Level: log.InfoLevel, Name: "host_back",
		Message: "host answers again", Fields: []string{"failed_host", "incarnation"}}
	OwnLinkDoubted = Event{Number: 302, Level: log.WarnLevel, Name: "own_link_doubted",
		Message: "too many peers appear failed at once; own link is suspected", Fields: []string{"failed", "probed"}}
	OwnLinkTrusted = Event{Number: 303, Level: log.InfoLevel, Name: "own_link_trusted",
		Message: "peers answer again; own link is trusted", Fields: []string{"failed", "probed"}}
)

// Events of the flows: 400 to 499.
var (
	FlowOpenedOutOfOrder = Event{Number: 400, Level: log.InfoLevel, Name: "flow_opened_out_of_order",
		Message: "flow opened by a target that is not its first candidate",
		Fields:  []string{"count"}}
	HandoverTimeout = Event{Number: 401, Level: log.WarnLevel, Name: "handover_query_timeout",
		Message: "queried candidates did not answer", Fields: []string{"count"}}
)

// BackendUnreachable reports that no socket towards the backend server could be opened.
var BackendUnreachable = Event{Number: 410, Level: log.ErrorLevel, Name: "backend_unreachable",
	Message: "backend server cannot be reached", Fields: []string{"service", "error"}}

// FlowLost reports a flow that a successor process could not take over.
var FlowLost = Event{Number: 411, Level: log.ErrorLevel, Name: "flow_lost",
	Message: "flow of the previous process was lost", Fields: []string{"service", "error"}}

// Events of packets and work: 500 to 599.
var (
	PacketDropped = Event{Number: 500, Level: log.WarnLevel, Name: "packet_dropped",
		Message: "packets dropped", Fields: []string{"service", "kind", "count"}, Limited: true}
	Refused = Event{Number: 501, Level: log.InfoLevel, Name: "refused",
		Message: "work refused, not run", Fields: []string{"service", "kind", "count"}, Limited: true}
)

// SettingsReloaded reports changed settings that took effect.
var SettingsReloaded = Event{Number: 112, Level: log.InfoLevel, Name: "settings_reloaded",
	Message: "settings changed", Fields: []string{"reason"}}

// SettingsRejected reports changed settings that are wrong.
var SettingsRejected = Event{Number: 113, Level: log.ErrorLevel, Name: "settings_rejected",
	Message: "changed settings are wrong; the earlier ones stay in force", Fields: []string{"error"}}

// Events of routes and targets: 220 to 239.
var (
	RoutesAccepted = Event{Number: 220, Level: log.InfoLevel, Name: "routes_accepted",
		Message: "routes accepted", Fields: []string{"version", "previous", "routes", "source"}}
	TargetChanged = Event{Number: 221, Level: log.InfoLevel, Name: "target_changed",
		Message: "entry of a target changed", Fields: []string{"target", "change", "revision", "source"}}
	EntryUnusable = Event{Number: 222, Level: log.WarnLevel, Name: "entry_unusable",
		Message: "published entry names no usable target", Fields: []string{"key", "error"}}
	StoreUnreachable = Event{Number: 223, Level: log.WarnLevel, Name: "store_unreachable",
		Message: "calls to the store fail", Fields: []string{"waited", "error"}}
	StoreReachable = Event{Number: 224, Level: log.InfoLevel, Name: "store_reachable",
		Message: "the store answers", Fields: nil}
	ReaderChosen = Event{Number: 225, Level: log.InfoLevel, Name: "reader_chosen",
		Message: "this balancer begins to read the store for all", Fields: []string{"contact_age"}}
	ReaderReleased = Event{Number: 226, Level: log.InfoLevel, Name: "reader_released",
		Message: "another balancer reads the store", Fields: nil}
	PullFailed = Event{Number: 227, Level: log.WarnLevel, Name: "pull_failed",
		Message: "a peer did not hand over what it knows", Fields: []string{"peer", "error"}}
)

// Events of balancers about each other: 310 to 319.
var (
	PeerHeard = Event{Number: 310, Level: log.InfoLevel, Name: "peer_heard",
		Message: "a balancer is heard", Fields: []string{"peer", "routes", "targets"}}
	PeerLost = Event{Number: 311, Level: log.WarnLevel, Name: "peer_lost",
		Message: "a balancer is no longer heard", Fields: []string{"peer"}}
)

// Events of segments: 600 to 699.
var (
	FlowPlaced = Event{Number: 600, Level: log.InfoLevel, Name: "flow_placed",
		Message: "opening sent to a target",
		Fields:  []string{"flow", "reason", "copy", "attempt", "target", "targets", "pending", "report_age", "version", "revision"}}
	FlowDecided = Event{Number: 601, Level: log.InfoLevel, Name: "flow_decided",
		Message: "segment decided out of the ordinary",
		Fields:  []string{"flow", "reason", "copy", "attempt", "target", "targets", "pending", "report_age", "version", "revision"}}
	FlowReset = Event{Number: 602, Level: log.WarnLevel, Name: "flow_reset",
		Message: "the caller was told that its flow is lost or cannot open",
		Fields:  []string{"flow", "reason", "copy", "attempt", "version", "revision"}}
	FlowFound = Event{Number: 603, Level: log.InfoLevel, Name: "flow_found",
		Message: "an agent named the target of a flow", Fields: []string{"flow", "target", "queries", "waited"}}
	SegmentRefused = Event{Number: 610, Level: log.InfoLevel, Name: "segment_refused",
		Message: "segment not handed to the target", Fields: []string{"flow", "reason", "attempt", "pending"}}
	SegmentReturned = Event{Number: 611, Level: log.InfoLevel, Name: "segment_returned",
		Message: "the target does not hold the flow or cannot open it", Fields: []string{"flow", "opening", "balancer"}}
	AnswerUnusual = Event{Number: 612, Level: log.WarnLevel, Name: "answer_unusual",
		Message: "the target answered late or with a failure", Fields: []string{"request", "flow", "status", "waited", "pending"}}
	TargetResponds = Event{Number: 613, Level: log.WarnLevel, Name: "target_responds",
		Message: "the target began or ceased to answer", Fields: []string{"responds", "pending"}}
	RequestHanded = Event{Number: 614, Level: log.InfoLevel, Name: "request_handed",
		Message: "request handed to the target", Fields: []string{"request", "flow", "balancer", "pending"}}
	RequestAbandoned = Event{Number: 615, Level: log.WarnLevel, Name: "request_abandoned",
		Message: "the caller ended the flow before an answer", Fields: []string{"request", "flow", "waited", "pending"}}
	TargetFailing = Event{Number: 616, Level: log.WarnLevel, Name: "target_failing",
		Message: "the target began or ceased to fail a part of its requests", Fields: []string{"failing", "share", "pending"}}
	FlowsTold = Event{Number: 617, Level: log.InfoLevel, Name: "flows_told",
		Message: "a balancer that was started was told its flows", Fields: []string{"balancer", "flows"}}
	SendFailed = Event{Number: 620, Level: log.WarnLevel, Name: "send_failed",
		Message: "a datagram could not be sent", Fields: []string{"to", "error"}}
)

// Events returns the catalogue, ordered by number.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessReady, StopBegun, Stopped, ClockJump, StateError, SettingsReloaded, SettingsRejected,
		ConfigAccepted, ConfigLower, ConfigConflict, ConfigInvalid,
		ConfigServiceUnreachable, ConfigServiceReachable, ListenerFailed,
		RoutesAccepted, TargetChanged, EntryUnusable, StoreUnreachable, StoreReachable, ReaderChosen, ReaderReleased, PullFailed,
		HostDead, HostBack, OwnLinkDoubted, OwnLinkTrusted, PeerHeard, PeerLost,
		FlowOpenedOutOfOrder, HandoverTimeout, BackendUnreachable, FlowLost,
		PacketDropped, Refused,
		FlowPlaced, FlowDecided, FlowReset, FlowFound, SegmentRefused, SegmentReturned, AnswerUnusual, TargetResponds, RequestHanded, RequestAbandoned, TargetFailing, FlowsTold, SendFailed,
	}
}
