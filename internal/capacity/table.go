package capacity

// Role is the kind of process or tool whose cost a line describes.
type Role string

// Roles.
const (
	Balancer      Role = "balancer"
	Agent         Role = "agent"
	Reader        Role = "configuration reader"
	OperatorTools Role = "operator's tools"
)

// Basis is the source of the figures of a line.
type Basis string

// Values of Basis.
const (
	Measured  Basis = "measured"
	WorkedOut Basis = "worked out"
	NotBuilt  Basis = "not built"
)

// Scope determines how a line contributes to the sums.
type Scope string

// Values of Scope.
const (
	// Control lines add up to the control overhead.
	Control Scope = "control"
	// Peak lines last for seconds and add to the control lines.
	Peak Scope = "peak"
	// Callers lines are caused by the traffic of the callers.
	Callers Scope = "callers"
)

// Line is one cost of one process of a role. Messages and bytes include those sent
// and those received.
type Line struct {
	Role  Role   `json:"role"`
	Scope Scope  `json:"scope"`
	Item  string `json:"item"`
	// State describes the state that the process holds.
	State string `json:"state,omitempty"`
	// Messages and Bytes are per second, Processor is a share of a core, Memory
	// is live heap in bytes, Reads are calls per second at the configuration
	// service by all processes of the role.
	Messages  float64 `json:"messages_per_second"`
	Bytes     float64 `json:"bytes_per_second"`
	Processor float64 `json:"processor_share"`
	Memory    float64 `json:"memory_bytes"`
	Reads     float64 `json:"reads_per_second,omitempty"`
	// Mechanism names the mechanism and, in parentheses, its packages.
	Mechanism string `json:"mechanism"`
	Basis     Basis  `json:"basis"`
	// Limit describes why the mechanism does not reach the size and what would;
	// empty if it reaches the size.
	Limit string `json:"limit,omitempty"`
}

// Sum is the control overhead of a process or node.
type Sum struct {
	Name      string  `json:"name"`
	Messages  float64 `json:"messages_per_second"`
	Bytes     float64 `json:"bytes_per_second"`
	Processor float64 `json:"processor_share"`
	Memory    float64 `json:"memory_bytes"`
	// Resident is the resident memory for the live heap, in bytes.
	Resident float64 `json:"resident_bytes"`
}

// Reserves are the remaining shares of the budgets, negative when a budget is
// exceeded.
type Reserves struct {
	Bytes     float64 `json:"bytes"`
	Processor float64 `json:"processor"`
	Memory    float64 `json:"memory"`
	Resident  float64 `json:"resident"`
}

// Reserves returns the remaining shares of the budget of a node.
func (s Sum) Reserves() Reserves {
	return Reserves{
		Bytes:     1 - s.Bytes/budgetBytes,
		Processor: 1 - s.Processor/budgetProcessor,
		Memory:    1 - s.Memory/budgetMemory,
		Resident:  1 - s.Resident/budgetMemory,
	}
}

// Report is the result for a size.
type Report struct {
	Size  Size    `json:"size"`
	Lines []Line  `json:"lines"`
	Sums  []Sum   `json:"sums"`
	Reads float64 `json:"reads_per_second"`
	Day   []Event `json:"day"`
}

// Compute returns the report for a size.
func Compute(s Size) *Report {
	r := &Report{Size: s}
	r.Lines = append(r.Lines, balancerLines(s)...)
	r.Lines = append(r.Lines, agentLines(s)...)
	r.Lines = append(r.Lines, readerLines(s)...)
	r.Lines = append(r.Lines, toolLines(s)...)
	balancer := r.sum("balancer process", Balancer)
	agent := r.sum("agent process", Agent)
	extra := r.sum("", Reader)
	r.Sums = []Sum{
		balancer,
		agent,
		combine("balancer process that is a reader", balancer, extra, 1),
		combine("node: one balancer and its agents", balancer, treeMean(agent, s), s.agentsPerNode()),
	}
	for _, l := range r.Lines {
		if l.Scope == Control {
			r.Reads += l.Reads
		}
	}
	r.Day = dayEvents(s)
	return r
}

// sum returns the sum of the control lines of a role.
func (r *Report) sum(name string, role Role) Sum {
	out := Sum{Name: name}
	for _, l := range r.Lines {
		if l.Role != role || l.Scope != Control {
			continue
		}
		out.Messages += l.Messages
		out.Bytes += l.Bytes
		out.Processor += l.Processor
		out.Memory += l.Memory
	}
	out.Resident = resident(out.Memory)
	return out
}

// combine returns the sum of a and count times b on one node. An unnamed b is an
// addition to the process of a rather than a process, so it has no resident base.
func combine(name string, a, b Sum, count float64) Sum {
	out := Sum{
		Name:      name,
		Messages:  a.Messages + count*b.Messages,
		Bytes:     a.Bytes + count*b.Bytes,
		Processor: a.Processor + count*b.Processor,
		Memory:    a.Memory + count*b.Memory,
	}
	out.Resident = a.Resident + count*b.Resident
	if b.Name == "" {
		out.Resident = resident(out.Memory)
	}
	return out
}

// treeMean replaces the messages of an inner process of the distribution tree by
// the mean of all processes, which forward as many deltas as they receive.
func treeMean(s Sum, size Size) Sum {
	less := size.changesPerSecond() * (fanOut - 1)
	s.Messages -= less
	s.Bytes -= less * (deltaFrame + headers)
	s.Processor -= less * messageTime
	return s
}

// resident returns the resident memory of a process with the given live heap, in
// bytes.
func resident(heap float64) float64 { return residentBase + residentFactor*heap }
