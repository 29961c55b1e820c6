package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// kindCount is the number of counted error kinds. Kinds above INTERNAL, such as
// REFUSED_BACKEND_DOWN, have no counter of their own and count as INTERNAL.
const kindCount = int(schema.ErrorKind_INTERNAL) + 1

// kindIndex returns the index of a kind. Unknown kinds count as INTERNAL, too, as
// in package errkind.
func kindIndex(kind schema.ErrorKind) int {
	if kind < 0 || int(kind) >= kindCount {
		return int(schema.ErrorKind_INTERNAL)
	}
	return int(kind)
}

var (
	// root holds one map per role instance. It is published only once, because
	// expvar panics when a name is published twice.
	root   = expvar.NewMap("peridotstall")
	rootMu sync.Mutex
)

// Counter is a monotonically increasing count.
type Counter struct{ value expvar.Int }

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int) { c.value.Add(int64(n)) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.value.Value() }

// Gauge is a value that can go up and down.
type Gauge struct{ value expvar.Int }

// Set sets the value to n.
func (g *Gauge) Set(n int64) { g.value.Set(n) }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the value.
func (g *Gauge) Value() int64 { return g.value.Value() }

// Metrics holds the metrics of one role instance. It is safe for concurrent use.
type Metrics struct {
	// PacketsIn and PacketsOut count datagrams of callers and of backend servers.
	PacketsIn, PacketsOut Counter
	// FramesIn and FramesOut count tunnel frames.
	FramesIn, FramesOut Counter
	// ControlBytesOut counts bytes sent in frames that carry no packet.
	ControlBytesOut Counter
	// Flows is the number of open flows. FlowsOpened counts opened flows,
	// FlowsOutOfOrder those opened on a target other than their first candidate,
	// and FlowsCut those lost by a stop or a takeover.
	Flows                                  Gauge
	FlowsOpened, FlowsOutOfOrder, FlowsCut Counter
	// Queries counts handover queries, QueryTimeouts those without a timely reply.
	Queries, QueryTimeouts Counter
	// DirectoryEntries and BufferedPackets are current sizes.
	DirectoryEntries, BufferedPackets Gauge
	// Requests is the number of requests queued or running. Offers counts offers,
	// RequestsRun started requests, and RequestsCut those lost by a stop.
	Requests                         Gauge
	Offers, RequestsRun, RequestsCut Counter
	// OpeningsRetried counts openings forwarded for a retry on the next target.
	OpeningsRetried Counter
	// Connections is the number of relayed TCP connections. ConnectionsOpened
	// counts opened ones, and ConnectionsCut those reset by a stop.
	Connections                       Gauge
	ConnectionsOpened, ConnectionsCut Counter
	// RelayedBytes counts bytes copied in both directions together.
	RelayedBytes Counter
	// Revision is the configuration revision in force. ConfigRejected counts
	// rejected configurations.
	Revision       Gauge
	ConfigRejected Counter

	kinds [kindCount]Counter
	vars  *expvar.Map
	name  string
}

// NewMetrics returns the metrics of an instance and publishes them under its role
// and host, for example "agent/a1". If that key is in use, a number is appended
// ("agent/a1#2"), because several instances in one process may have the same host
// name.
func NewMetrics(role schema.Role, host string) *Metrics {
	m := &Metrics{vars: new(expvar.Map)}
	m.counter("packets_in", &m.PacketsIn)
	m.counter("packets_out", &m.PacketsOut)
	m.counter("frames_in", &m.FramesIn)
	m.counter("frames_out", &m.FramesOut)
	m.counter("control_bytes_out", &m.ControlBytesOut)
	m.gauge("flows", &m.Flows)
	m.counter("flows_opened", &m.FlowsOpened)
	m.counter("flows_out_of_order", &m.FlowsOutOfOrder)
	m.counter("flows_cut", &m.FlowsCut)
	m.counter("queries", &m.Queries)
	m.counter("query_timeouts", &m.QueryTimeouts)
	m.gauge("directory_entries", &m.DirectoryEntries)
	m.gauge("buffered_packets", &m.BufferedPackets)
	m.gauge("requests", &m.Requests)
	m.counter("offers", &m.Offers)
	m.counter("openings_passed", &m.OpeningsRetried)
	m.counter("requests_run", &m.RequestsRun)
	m.counter("requests_cut", &m.RequestsCut)
	m.gauge("connections", &m.Connections)
	m.counter("connections_opened", &m.ConnectionsOpened)
	m.counter("connections_cut", &m.ConnectionsCut)
	m.counter("relayed_bytes", &m.RelayedBytes)
	m.gauge("revision", &m.Revision)
	m.counter("config_rejected", &m.ConfigRejected)
	m.vars.Set("errors", m.kindVars())
	m.name = publish(strings.ToLower(role.String())+"/"+host, m.vars)
	return m
}

func (m *Metrics) counter(name string, c *Counter) { m.vars.Set(name, &c.value) }

func (m *Metrics) gauge(name string, g *Gauge) { m.vars.Set(name, &g.value) }

func (m *Metrics) kindVars() *expvar.Map {
	kinds := new(expvar.Map)
	for number := 1; number < kindCount; number++ {
		kinds.Set(schema.ErrorKind(number).String(), &m.kinds[number].value)
	}
	return kinds
}

// publish adds metrics to the published map and returns their key.
func publish(name string, vars *expvar.Map) string {
	rootMu.Lock()
	defer rootMu.Unlock()
	key := name
	for n := 2; root.Get(key) != nil; n++ {
		key = fmt.Sprintf("%s#%d", name, n)
	}
	root.Set(key, vars)
	return key
}

// unpublish removes metrics from the published map.
func unpublish(key string) {
	rootMu.Lock()
	defer rootMu.Unlock()
	root.Delete(key)
}

// Name returns the key of the instance in the published map.
func (m *Metrics) Name() string { return m.name }

// Error counts an error of a kind.
func (m *Metrics) Error(kind schema.ErrorKind) { m.kinds[kindIndex(kind)].Inc() }

// Errors returns the count of a kind.
func (m *Metrics) Errors(kind schema.ErrorKind) int64 { return m.kinds[kindIndex(kind)].Value() }

// Func publishes a metric whose value f computes when the metrics are read.
func (m *Metrics) Func(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Close removes the instance from the published map.
func (m *Metrics) Close() { unpublish(m.name) }

// Handler serves the metrics of the process as JSON.
func Handler() http.Handler { return expvar.Handler() }
