package capacity

import (
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/offer"
)

// day is the length of a day in seconds.
const day = 86_400.0

// Budgets of the design page per node, and of the configuration service.
const (
	budgetProcessor = 0.022 // share of a core
	budgetMemory    = 64e6  // bytes
	budgetBytes     = 26e3  // bytes/s
	budgetReads     = 2_000 // calls/s
	// valueLimit is the size limit of a value of the configuration service in bytes.
	valueLimit = config.MaxValueSize
)

// Costs per target, host, flow and packet; docs/measurements/capacity.md has the
// commands and fits.
const (
	// configHeap is the heap of a configuration in force, bytes per target.
	configHeap = 702.0
	// supersededHeap is the heap of one superseded configuration, bytes per target.
	supersededHeap = 31.0
	// configEncoded is the size of an encoded configuration, bytes per target.
	configEncoded = 107.0
	// targetJSON and hostJSON are the published sizes, bytes per target and host.
	targetJSON = 188.0
	hostJSON   = 98.0
	// hostEncoded is the size of an encoded host list, bytes per host.
	hostEncoded = 45.0
	// hostHeap is the heap of the compact host list, bytes per host.
	hostHeap = 76.0
	// viewHeap is the heap of the placement table of an agent, routeHeap that of
	// the route table of a balancer, which includes a placement table, bytes per
	// target.
	viewHeap  = 42.0
	routeHeap = 282.0
	// listenerHeap is heap and stack of a listener, bytes per service address.
	listenerHeap = 2_693.0 + 4_151.0
	// directoryHeap is the heap of a directory entry, bytes.
	directoryHeap = 98.4
	// flowHeap is heap and stack, flowResident the resident memory of an open
	// plain flow with its socket and goroutine, bytes.
	flowHeap     = 2_696.0 + 2_064.0
	flowResident = 4_500.0
	// retainedHeap is the heap of a retained request without its response, bytes.
	retainedHeap = 870.0
	// residentFactor and residentBase convert live heap to resident memory with the
	// default garbage collector settings: resident = base + factor * live heap.
	residentFactor = 2.1
	residentBase   = 22e6

	// changeBase and changePerTarget are the processor time of an accepted delta
	// of one target, seconds and seconds per target.
	changeBase      = 0.3e-3
	changePerTarget = 105e-9
	// viewPerTarget and routePerTarget are the processor times of an agent and of a
	// balancer to update their tables after a change of one target, seconds per
	// target. The time of a balancer grows with the targets because it copies its
	// tables.
	viewPerTarget  = 87e-9
	routePerTarget = 104e-9
	// changedHost is the processor time of a balancer for a change of the host view,
	// seconds for each host that is not live in one of the two views.
	changedHost = 0.25e-6
	// restartSeconds is the assumed time for which a restarting process is not live.
	restartSeconds = 30.0
	// collectionPerByte is the processor time of a garbage collection, seconds
	// per byte of live heap. It varies from 0.7e-9 to 1.5e-9.
	collectionPerByte = 1e-9
	// registerPerFlow and displacedPerFlow are the processor times of a registration
	// for a flow that is not displaced and for one that is; sweepPerFlow is that of
	// the timers per second, seconds per flow.
	registerPerFlow  = 146e-9
	displacedPerFlow = 467e-9
	sweepPerFlow     = 83e-9
	// acceptPerTarget is the processor time of a starting process to accept a full
	// configuration, seconds per target.
	acceptPerTarget = 8.1e-6
	// openTime is the processor time of an agent for a new flow, seconds.
	openTime = 38e-6
	// queryTime is the processor time of a query and its reply at both agents
	// together, queryDelay the delay that a query adds to the first packet, seconds.
	queryTime  = 60e-6
	queryDelay = 40e-6
	// balancerPacket, agentPacket and agentAnswer are processor times per packet
	// of a caller, seconds.
	balancerPacket = 4.8e-6
	agentPacket    = 6.3e-6
	agentAnswer    = 4.9e-6

	// registerHash and registerFrame are the bytes of a Register frame per flow hash
	// and per frame. askFrame and askReplyFrame are the bytes of Ask and AskReply, the
	// latter with the 4 candidates of one view.
	registerHash  = 8.0
	registerFrame = 18.0
	askFrame      = 29.0
	askReplyFrame = 46.0
)

// Message sizes of the control plane in bytes, worked out from the schema for host
// names of 12 bytes and numbers of the design size.
const (
	headers           = 28.0 // IPv4 and UDP
	revisionNoteFrame = 65.0
	pullFrame         = 14.0
	deltaFrame        = 500.0
	probeFrame        = 21.0
	probeReplyFrame   = 30.0
	announceFrame     = 35.0
	verdictFrame      = 48.0
	eventBytes        = 16.0 // of one event in a batch
	batchFrame        = 17.0
	chunkData         = 1_200.0
	// tunnelOverhead is the size that a frame adds to a packet of a caller,
	// headers included.
	tunnelOverhead = 66.0
	// messageTime is the processor time of a control message that is sent or
	// received, in seconds: half of agentPacket, since an agent receives and sends
	// each packet once.
	messageTime = agentPacket / 2
	// eventHeap is the heap of a host state in a map, bytes per host.
	eventHeap = 50.0
	// lossShare is the assumed share of messages that are lost, after which a
	// process pulls the missing configuration.
	lossShare = 0.01
)

// Parameters of the mechanisms. Values that the named packages do not export are
// copies and must be kept equal.
const (
	exchangePeers    = 2     // confsync: peers per second
	probers          = 3     // membership: per process, one probe per second each
	announceProbes   = 16    // membership: probes between repeated announcements
	checkPeers       = 16    // membership: probed in addition while a probe is lost
	doubtShare       = 0.50  // membership
	hostReadInterval = 11e-3 // confsync: seconds between reads of the host list, per host
	eventRate        = 8_192 // membership: bytes/s of events that a process sends
	eventBurstBytes  = 4_096 // membership: bytes
	batchEvents      = 18    // membership: events in a batch
	ticksPerSecond   = 10    // control: most changes of the host view per second
	fanOut           = hostlist.FanOut
	readersPerZone   = hostlist.ReadersPerZone
	transferRate     = 2 << 20
	supersededWindow = 60.0 // daemon: deltaBaseTTL, seconds
	maxSuperseded    = 16   // config: superseded configurations kept
	partBurst        = 8    // control: parts read at once
	partInterval     = 0.03 // control: seconds between further parts
	watchTimeout     = 30.0 // confsync: seconds
	watchDelay       = 0.5  // confsync: seconds between two watches
	fallbackRate     = 1_500
	hashesPerFrame   = 140 // flow
	queriesPerFlow   = 3   // flow: the other candidates
	maxRetained      = offer.MaxRetained
	retainedBytes    = offer.MaxRetainedBytes
	// rackNodes is the number of nodes behind one rack or switch; the design page
	// names none.
	rackNodes = 40
)

// Parameters of the flow table: seconds between registrations, seconds for which a
// changed service is unsettled, and the most entries and promises of a directory.
var (
	registerInterval = flow.DefaultLimits().RefreshInterval.Seconds()
	unsettledWindow  = flow.DefaultLimits().Window.Seconds()
	maxDirectory     = float64(flow.DefaultLimits().DirectoryEntries + flow.DefaultLimits().Promises)
)
