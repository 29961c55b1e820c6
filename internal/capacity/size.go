// Package capacity computes the cost of a fleet of a given size: messages, bytes,
// processor time and memory of each role, from the costs per target, flow and
// message. It also lists the limits that the fleet exceeds at that size.
package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Size is the size of a fleet. Every node runs one balancer, and the agents of
// all targets are spread evenly over the nodes.
type Size struct {
	Nodes              int `toml:"nodes" json:"nodes"`
	Targets            int `toml:"targets" json:"targets"`
	Services           int `toml:"services" json:"services"`
	OpenFlows          int `toml:"open_flows" json:"open_flows"`
	NewFlowsPerSecond  int `toml:"new_flows_per_second" json:"new_flows_per_second"`
	Zones              int `toml:"zones" json:"zones"`
	Regions            int `toml:"regions" json:"regions"`
	ChangesPerDay      int `toml:"changes_per_day" json:"changes_per_day"`
	HostFailuresPerDay int `toml:"host_failures_per_day" json:"host_failures_per_day"`
	HostRestartsPerDay int `toml:"host_restarts_per_day" json:"host_restarts_per_day"`
}

// TargetSize returns the design size, the size of fleet in the design page.
func TargetSize() Size {
	return Size{
		Nodes:              6_000,
		Targets:            51_000,
		Services:           3_300,
		OpenFlows:          95_000_000,
		NewFlowsPerSecond:  610_000,
		Zones:              15,
		Regions:            4,
		ChangesPerDay:      19_000,
		HostFailuresPerDay: 160,
		HostRestartsPerDay: 3_200,
	}
}

// field is a key of a size file with its range of values.
type field struct {
	key      string
	value    *int
	min, max int
}

// fields returns the keys. The upper limits of counts are 1,000 times the design
// size, so that all products are exact in a float64.
func (s *Size) fields() []field {
	return []field{
		{"nodes", &s.Nodes, 1, 6_000_000},
		{"targets", &s.Targets, 1, 51_000_000},
		{"services", &s.Services, 1, 3_300_000},
		{"open_flows", &s.OpenFlows, 0, 95_000_000_000},
		{"new_flows_per_second", &s.NewFlowsPerSecond, 0, 610_000_000},
		{"zones", &s.Zones, 1, 15_000},
		{"regions", &s.Regions, 1, 4_000},
		{"changes_per_day", &s.ChangesPerDay, 0, 19_000_000},
		{"host_failures_per_day", &s.HostFailuresPerDay, 0, 6_000_000},
		{"host_restarts_per_day", &s.HostRestartsPerDay, 0, 6_000_000},
	}
}

// Load reads a size from a TOML file. Keys that the file lacks keep the value of
// the design size. The error lists every invalid key with file and value.
func Load(path string) (Size, error) {
	s := TargetSize()
	data, err := os.ReadFile(path)
	if err != nil {
		return Size{}, errors.Wrap(err, "read size")
	}
	meta, err := toml.Decode(string(data), &s)
	if err != nil {
		return Size{}, errors.Wrapf(err, "%s", path)
	}
	var problems []string
	for _, key := range meta.Undecoded() {
		problems = append(problems, fmt.Sprintf("%s: %s: unknown key, must be one of %s", path, key, s.keys()))
	}
	problems = append(problems, s.problems(path)...)
	if len(problems) > 0 {
		return Size{}, errors.New(strings.Join(problems, "\n"))
	}
	return s, nil
}

func (s *Size) keys() string {
	var keys []string
	for _, f := range s.fields() {
		keys = append(keys, f.key)
	}
	return strings.Join(keys, ", ")
}

func (s *Size) problems(path string) []string {
	var faults []string
	for _, f := range s.fields() {
		if *f.value < f.min || *f.value > f.max {
			faults = append(faults, fmt.Sprintf("%s: %s: %d, must be an integer from %d to %d", path, f.key, *f.value, f.min, f.max))
		}
	}
	if s.Zones > s.Nodes {
		faults = append(faults, fmt.Sprintf("%s: zones: %d, must be at most the number of nodes, %d", path, s.Zones, s.Nodes))
	}
	if s.Regions > s.Zones {
		faults = append(faults, fmt.Sprintf("%s: regions: %d, must be at most the number of zones, %d", path, s.Regions, s.Zones))
	}
	return faults
}

// processes returns the number of processes that exchange control traffic.
func (s *Size) processes() float64 { return float64(s.Nodes + s.Targets) }

// agentsPerNode returns the mean number of agents on a node.
func (s *Size) agentsPerNode() float64 { return float64(s.Targets) / float64(s.Nodes) }

// targetsPerService returns the mean number of targets behind a service address.
func (s *Size) targetsPerService() float64 { return float64(s.Targets) / float64(s.Services) }

// flowsPerAgent returns the mean number of open flows of an agent.
func (s *Size) flowsPerAgent() float64 { return float64(s.OpenFlows) / float64(s.Targets) }

// openingsPerAgent returns the mean number of new flows per second at an agent.
func (s *Size) openingsPerAgent() float64 { return float64(s.NewFlowsPerSecond) / float64(s.Targets) }

// changesPerSecond returns the mean rate of configuration changes.
func (s *Size) changesPerSecond() float64 { return float64(s.ChangesPerDay) / day }

// processesPerNode returns the mean number of processes on a node. They fail and
// restart together.
func (s *Size) processesPerNode() float64 { return s.processes() / float64(s.Nodes) }

// restartsPerDay returns the number of restarted processes per day.
func (s *Size) restartsPerDay() float64 {
	return float64(s.HostRestartsPerDay) * s.processesPerNode()
}

// failuresPerDay returns the number of failed processes per day.
func (s *Size) failuresPerDay() float64 {
	return float64(s.HostFailuresPerDay) * s.processesPerNode()
}

// eventsPerSecond returns the mean rate of changes of process states. A restart
// changes the state to leaving and back to live, a failure to dead and back to live.
func (s *Size) eventsPerSecond() float64 {
	return 2 * (s.restartsPerDay() + s.failuresPerDay()) / day
}

// readers returns the number of processes that read from the configuration service.
func (s *Size) readers() float64 {
	return min(readersPerZone*float64(s.Zones), s.processes())
}
