package telemetry

import (
	"github.com/charmbracelet/log"
)

// Event is an entry of the catalogue of log events. Operators' alerts refer to
// event numbers, so a number is never reused for another meaning.
type Event struct {
	// Number identifies the event.
	Number int
	// Level is the level at which the event is logged.
	Level log.Level
	// Name is the readable identifier of the event.
	Name string
	// Message is the human-readable text of the log line.
	Message string
	// Fields are the keys of the log line, in order.
	Fields []string
	// Limited events are logged with LogLimited, so that a flood of packets does
	// not become a flood of log lines.
	Limited bool
}

// Events of the process: 100 to 199.
var (
	ProcessStarted = Event{Number: 100, Level: log.InfoLevel, Name: "process_started",
		Message: "process started", Fields: []string{"role", "host", "zone"}}
	ProcessReady = Event{Number: 101, Level: log.InfoLevel, Name: "process_ready",
		Message: "process is serving", Fields: []string{"role", "revision"}}
	StopBegun = Event{Number: 102, Level: log.InfoLevel, Name: "stop_begun",
		Message: "graceful shutdown started; draining until the limit", Fields: []string{"reason", "limit"}}
	Stopped = Event{Number: 103, Level: log.InfoLevel, Name: "stopped",
		Message: "process stopped", Fields: []string{"cut_flows", "cut_requests"}}
	ClockJump = Event{Number: 110, Level: log.WarnLevel, Name: "clock_jump",
		Message: "process was paused; dropping offers and queued openings", Fields: []string{"jump"}}
)

// StateError reports a failed state transition or a failed close during a stop.
var StateError = Event{Number: 111, Level: log.ErrorLevel, Name: "state_error",
	Message: "state transition or close of a socket failed", Fields: []string{"error"}}

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
		Message: "configuration service is unreachable; retrying", Fields: []string{"url", "error"}}
	ConfigServiceReachable = Event{Number: 205, Level: log.InfoLevel, Name: "config_service_reachable",
		Message: "configuration service is reachable again", Fields: []string{"url", "outage"}}
)

// ListenerFailed reports a service address that the process cannot bind.
var ListenerFailed = Event{Number: 210, Level: log.ErrorLevel, Name: "listener_failed",
	Message: "service address cannot be bound; retrying", Fields: []string{"service", "error"}}

// Events of the membership: 300 to 399.
var (
	HostDead = Event{Number: 300, Level: log.WarnLevel, Name: "host_dead",
		Message: "host is declared dead", Fields: []string{"failed_host", "incarnation"}}
	HostBack = Event{Number: 301, Level: log.InfoLevel, Name: "host_back",
		Message: "host is live again", Fields: []string{"failed_host", "incarnation"}}
	OwnLinkDoubted = Event{Number: 302, Level: log.WarnLevel, Name: "own_link_doubted",
		Message: "too many peers appear failed at once; own link is suspected to be faulty", Fields: []string{"failed", "probed"}}
	OwnLinkTrusted = Event{Number: 303, Level: log.InfoLevel, Name: "own_link_trusted",
		Message: "peers answer again; own link is trusted", Fields: []string{"failed", "probed"}}
)

// Events of the flows: 400 to 499.
var (
	FlowOpenedOutOfOrder = Event{Number: 400, Level: log.InfoLevel, Name: "flow_opened_out_of_order",
		Message: "flows opened on targets other than their first candidate",
		Fields:  []string{"count"}}
	HandoverTimeout = Event{Number: 401, Level: log.WarnLevel, Name: "handover_query_timeout",
		Message: "queried candidates did not reply in time", Fields: []string{"count"}}
)

// BackendUnreachable reports that no socket to the backend server could be opened.
var BackendUnreachable = Event{Number: 410, Level: log.ErrorLevel, Name: "backend_unreachable",
	Message: "backend server is unreachable", Fields: []string{"service", "error"}}

// FlowLost reports a flow that the process could not take over from its predecessor.
var FlowLost = Event{Number: 411, Level: log.ErrorLevel, Name: "flow_lost",
	Message: "flow could not be taken over from the previous process", Fields: []string{"service", "error"}}

// Events of packets and work: 500 to 599.
var (
	PacketDropped = Event{Number: 500, Level: log.WarnLevel, Name: "packet_dropped",
		Message: "packets dropped", Fields: []string{"service", "kind", "count"}, Limited: true}
	Refused = Event{Number: 501, Level: log.InfoLevel, Name: "refused",
		Message: "work refused, not run", Fields: []string{"service", "kind", "count"}, Limited: true}
)

// SettingsReloaded reports that changed settings took effect.
var SettingsReloaded = Event{Number: 112, Level: log.InfoLevel, Name: "settings_reloaded",
	Message: "settings reloaded", Fields: []string{"reason", "restart_needed"}}

// SettingsRejected reports changed settings that are unreadable or invalid.
var SettingsRejected = Event{Number: 113, Level: log.ErrorLevel, Name: "settings_rejected",
	Message: "changed settings are unreadable or invalid; keeping the previous ones", Fields: []string{"error"}}

// Events of routes and targets: 220 to 239.
var (
	RoutesAccepted = Event{Number: 220, Level: log.InfoLevel, Name: "routes_accepted",
		Message: "routes accepted", Fields: []string{"version", "previous", "routes", "source"}}
	TargetChanged = Event{Number: 221, Level: log.InfoLevel, Name: "target_changed",
		Message: "target entry changed", Fields: []string{"target", "change", "epoch", "revision", "source"}}
	EntryUnusable = Event{Number: 222, Level: log.WarnLevel, Name: "entry_unusable",
		Message: "published entry is unusable; ignoring it", Fields: []string{"key", "error"}}
	StoreUnreachable = Event{Number: 223, Level: log.WarnLevel, Name: "store_unreachable",
		Message: "call to the store failed; retrying", Fields: []string{"waited", "error"}}
	StoreReachable = Event{Number: 224, Level: log.InfoLevel, Name: "store_reachable",
		Message: "store is reachable", Fields: nil}
	ReaderChosen = Event{Number: 225, Level: log.InfoLevel, Name: "reader_chosen",
		Message: "this balancer starts reading the store on behalf of all", Fields: []string{"contact_age"}}
	ReaderReleased = Event{Number: 226, Level: log.InfoLevel, Name: "reader_released",
		Message: "another balancer reads the store; this one stops reading it", Fields: nil}
	PullFailed = Event{Number: 227, Level: log.WarnLevel, Name: "pull_failed",
		Message: "pull of routes or targets from a peer failed", Fields: []string{"peer", "error"}}
	StoreRead = Event{Number: 229, Level: log.InfoLevel, Name: "store_read",
		Message: "whole value read from the store", Fields: []string{"value", "epoch", "revision"}}
	HistoryLost = Event{Number: 230, Level: log.InfoLevel, Name: "history_lost",
		Message: "the store cannot continue the watch; reading the whole value", Fields: []string{"value", "epoch", "revision"}}
	StoreRestored = Event{Number: 231, Level: log.WarnLevel, Name: "store_restored",
		Message: "the store was restored from an earlier copy; its table is accepted",
		Fields:  []string{"epoch", "revision", "previous_epoch", "previous_revision", "changes", "overruled", "source"}}
	TableIgnored = Event{Number: 232, Level: log.WarnLevel, Name: "table_ignored",
		Message: "table of targets differs but is not newer; ignoring it",
		Fields:  []string{"epoch", "revision", "current_epoch", "current_revision", "changes", "source"}, Limited: true}
	RestoreLearned = Event{Number: 233, Level: log.InfoLevel, Name: "restore_learned",
		Message: "a peer knows targets that the store's table lacks; using them",
		Fields:  []string{"epoch", "revision", "overruled", "source"}}
	TargetDisowned = Event{Number: 234, Level: log.WarnLevel, Name: "target_disowned",
		Message: "the agent on the host of a target's entry names another target; the entry is not used",
		Fields:  []string{"target", "service", "address", "agent_port", "named"}, Limited: true}
	StoreCallFailed = Event{Number: 235, Level: log.InfoLevel, Name: "store_call_failed",
		Message: "another call to the unreachable store failed", Fields: []string{"waited", "error"}, Limited: true}
	ZoneEvacuated = Event{Number: 236, Level: log.InfoLevel, Name: "zone_evacuated",
		Message: "availability zone evacuated, or taken back", Fields: []string{"zone", "evacuated", "epoch", "revision", "source"}, Limited: true}
	PeerOverruled = Event{Number: 237, Level: log.ErrorLevel, Name: "peer_overruled",
		Message: "the store has not reached the position that a peer stated; what the store says is used", Fields: []string{"what", "position", "store"}}
	RoutesUnusable = Event{Number: 228, Level: log.ErrorLevel, Name: "routes_unusable",
		Message: "published configuration cannot be read; the last one stays in force", Fields: []string{"key", "error"}}
)

// Events of balancers as peers: 310 to 319.
var (
	PeerHeard = Event{Number: 310, Level: log.InfoLevel, Name: "peer_heard",
		Message: "received the first message of a new or returned balancer", Fields: []string{"peer", "routes", "epoch", "targets"}}
	PeerLost = Event{Number: 311, Level: log.WarnLevel, Name: "peer_lost",
		Message: "no more messages from a balancer; considering it lost", Fields: []string{"peer"}}
)

// Events of segments: 600 to 699.
var (
	FlowPlaced = Event{Number: 600, Level: log.InfoLevel, Name: "flow_placed",
		Message: "opening forwarded to a target",
		Fields:  []string{"flow", "reason", "copy", "attempt", "target", "targets", "pending", "report_age", "version", "epoch", "revision"}}
	FlowDecided = Event{Number: 601, Level: log.InfoLevel, Name: "flow_decided",
		Message: "segment handled other than by forwarding it to a known target",
		Fields:  []string{"flow", "reason", "copy", "attempt", "target", "targets", "pending", "report_age", "version", "epoch", "revision"}}
	FlowReset = Event{Number: 602, Level: log.WarnLevel, Name: "flow_reset",
		Message: "reset sent to the caller: its flow is lost or cannot open",
		Fields:  []string{"flow", "reason", "copy", "attempt", "version", "epoch", "revision"}}
	FlowFound = Event{Number: 603, Level: log.InfoLevel, Name: "flow_found",
		Message: "search found the owner of a flow", Fields: []string{"flow", "target", "queries", "waited"}}
	SegmentRefused = Event{Number: 610, Level: log.InfoLevel, Name: "segment_refused",
		Message: "segment refused; returning it to the balancer", Fields: []string{"flow", "reason", "attempt", "pending", "expected_wait", "service_time",
			"priority", "budget", "late", "patience", "waiting", "quote"}}
	SegmentReturned = Event{Number: 611, Level: log.InfoLevel, Name: "segment_returned",
		Message: "target does not hold the flow or cannot open it; returning the segment", Fields: []string{"flow", "opening", "balancer"}}
	AnswerUnusual = Event{Number: 612, Level: log.WarnLevel, Name: "answer_unusual",
		Message: "target answered late or with an error status", Fields: []string{"request", "flow", "status", "waited", "arrived", "pending"}}
	TargetResponds = Event{Number: 613, Level: log.WarnLevel, Name: "target_responds",
		Message: "target started or stopped responding", Fields: []string{"responds", "pending"}}
	RequestHanded = Event{Number: 614, Level: log.InfoLevel, Name: "request_handed",
		Message: "request dispatched to the target", Fields: []string{"request", "flow", "balancer", "pending"}}
	RequestAbandoned = Event{Number: 615, Level: log.WarnLevel, Name: "request_abandoned",
		Message: "caller closed the flow before the answer", Fields: []string{"request", "flow", "waited", "arriving", "pending"}}
	TargetFailing = Event{Number: 616, Level: log.WarnLevel, Name: "target_failing",
		Message: "target started or stopped failing a share of its requests", Fields: []string{"failing", "share", "pending"}}
	FlowsTold = Event{Number: 617, Level: log.InfoLevel, Name: "flows_told",
		Message: "sending a restarted balancer its flows for the flow restore", Fields: []string{"balancer", "flows"}}
	TargetEvacuated = Event{Number: 618, Level: log.InfoLevel, Name: "target_evacuated",
		Message: "the target takes no new flows because its zone is evacuated, or takes them again",
		Fields:  []string{"evacuated", "epoch", "revision", "flows", "balancer"}}
	TargetEmpty = Event{Number: 619, Level: log.InfoLevel, Name: "target_empty",
		Message: "no flow is open any more at the target of an evacuated zone", Fields: []string{"waited", "refused"}}
	SendFailed = Event{Number: 620, Level: log.WarnLevel, Name: "send_failed",
		Message: "datagram cannot be sent", Fields: []string{"to", "error"}}
	OpeningWaits = Event{Number: 621, Level: log.InfoLevel, Name: "opening_waits",
		Message: "opening waits until the target has room", Fields: []string{"flow", "balancer"}}
	WarmupBegun = Event{Number: 631, Level: log.InfoLevel, Name: "warmup_begun",
		Message: "target is cold and takes a limited number of requests", Fields: []string{"rate", "left"}}
	WarmupEnded = Event{Number: 632, Level: log.InfoLevel, Name: "warmup_ended",
		Message: "target is warm; its limit is over", Fields: []string{"rate", "bound", "peak", "openings", "given_back", "further_requests", "lasted"}}
	WarmupExceeded = Event{Number: 633, Level: log.WarnLevel, Name: "warmup_exceeded",
		Message: "target is warm; it got more requests than the tolerance allows", Fields: []string{"rate", "bound", "peak", "openings", "given_back", "further_requests", "lasted"}}
)

// Events returns the catalogue, ordered by number.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessReady, StopBegun, Stopped, ClockJump, StateError, SettingsReloaded, SettingsRejected,
		ConfigAccepted, ConfigLower, ConfigConflict, ConfigInvalid,
		ConfigServiceUnreachable, ConfigServiceReachable, ListenerFailed,
		RoutesAccepted, TargetChanged, EntryUnusable, StoreUnreachable, StoreReachable, ReaderChosen, ReaderReleased, PullFailed, RoutesUnusable,
		StoreRead, HistoryLost, StoreRestored, TableIgnored, RestoreLearned, TargetDisowned, StoreCallFailed, ZoneEvacuated, PeerOverruled,
		HostDead, HostBack, OwnLinkDoubted, OwnLinkTrusted, PeerHeard, PeerLost,
		FlowOpenedOutOfOrder, HandoverTimeout, BackendUnreachable, FlowLost,
		PacketDropped, Refused,
		FlowPlaced, FlowDecided, FlowReset, FlowFound, SegmentRefused, SegmentReturned, AnswerUnusual, TargetResponds, RequestHanded, RequestAbandoned, TargetFailing, FlowsTold,
		TargetEvacuated, TargetEmpty, SendFailed, OpeningWaits, WarmupBegun, WarmupEnded, WarmupExceeded,
	}
}
