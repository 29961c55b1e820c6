package loadmodel

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/steering"
)

// Classes of the patterns. A write is urgent and must not run twice, a read is less urgent,
// as is a stream of short messages.
const (
	Read   = "read"
	Write  = "write"
	Stream = "stream"
)

// defaultLateWorth is what a late answer is worth.
const defaultLateWorth = 0.3

// Pattern is a named load.
type Pattern struct {
	Name string
	// Load describes it in a few words.
	Load   string
	change func(*Config)
}

// Patterns returns the loads that the policies are made for.
func Patterns() []Pattern {
	return []Pattern{
		{"steady", "half of the capacity", func(*Config) {}},
		{"nearly-full", "0.95 of the capacity", func(c *Config) { c.scale(1.86) }},
		{"restart", "all processes are down for 1.3 s at 0.45 of the capacity", func(c *Config) {
			c.DownFrom, c.DownTo, c.StartSpread = 3*time.Second, 4300*time.Millisecond, 150*time.Millisecond
			c.scale(0.9)
		}},
		{"restart-loaded", "all processes are down for 1.3 s at 0.8 of the capacity", func(c *Config) {
			c.DownFrom, c.DownTo, c.StartSpread = 3*time.Second, 4300*time.Millisecond, 150*time.Millisecond
			c.scale(1.6)
		}},
		{"burst", "four times the reads for 3 s", func(c *Config) {
			c.Surges = []Surge{{Read, 3 * time.Second, 6 * time.Second, 4}}
		}},
		{"urgent-burst", "six times the writes for 3 s", func(c *Config) {
			c.Surges = []Surge{{Write, 3 * time.Second, 6 * time.Second, 6}}
		}},
		{"overload", "1.6 times the capacity all day", func(c *Config) { c.scale(3.2) }},
		{"cold", "half of the targets cold until 4 s, at 0.85 of the capacity", func(c *Config) {
			for i := range c.Targets {
				if i%2 == 0 {
					c.Targets[i].ColdUntil = 4 * time.Second
				}
			}
			c.scale(1.7)
		}},
		{"slow-target", "one target at a quarter of its speed, at 0.8 of the capacity", func(c *Config) {
			c.Targets[3].Speed /= 4
			c.scale(1.6)
		}},
		{"retry-at-once", "1.3 times the capacity, failed tries come back after 5 ms", func(c *Config) {
			c.RetryDelay = 5 * time.Millisecond
			c.scale(2.6)
		}},
		{"retry-storm", "1.3 times the capacity, failed tries come back after 20 ms", func(c *Config) {
			c.RetryDelay = 20 * time.Millisecond
			c.scale(2.6)
		}},
		{"shift", "all openings through the balancers of one zone from 2 s on", func(c *Config) {
			c.CallerZone, c.ShiftAt = 0, 2*time.Second
			c.scale(1.6)
		}},
		{"many-balancers", "30 balancers with reports each 200 ms, 105 targets of 2 slots, half of the capacity", func(c *Config) {
			c.large()
		}},
		{"many-balancers-burst", "the same, with four times the reads for 3 s", func(c *Config) {
			c.large()
			c.Surges = []Surge{{Read, 3 * time.Second, 6 * time.Second, 4}}
		}},
		{"all-return-at-once", "all processes and targets lose power for 0.8 s at 0.3 of the capacity, work of 13 and 17 ms; objective 200 ms, timeout 2 s", func(c *Config) {
			c.powerLoss(1)
			c.Classes[0].Work, c.Classes[1].Work = 13*time.Millisecond, 17*time.Millisecond
			c.DownTo = c.DownFrom + 800*time.Millisecond
			c.StartSpread = 150 * time.Millisecond
			c.setTimes(200*time.Millisecond, 2*time.Second)
			c.load(0.3)
		}},
		{"all-return-cold", "the same for 1.1 to 1.5 s at 0.5 of the warm capacity, speeds 0.7, 0.7 and 1.7, cold for 2 s afterwards; objective 250 ms, timeout 1.5 s", func(c *Config) {
			c.powerLoss(0.7, 0.7, 1.7)
			c.DownTo = c.DownFrom + 1100*time.Millisecond
			c.StartSpread, c.ColdAfterReturn = 400*time.Millisecond, 2*time.Second
			c.setTimes(250*time.Millisecond, 1500*time.Millisecond)
			c.load(0.5)
		}},
		{"wave", "the rate swings from 0.45 to 1.55 of its mean every 6 s, to 0.9 of the capacity", func(c *Config) {
			c.Wave = Wave{Period: 6 * time.Second, Low: 0.45, High: 1.55}
			c.Duration = 2 * c.Wave.Period
			c.load(0.9 / c.Wave.High)
		}},
		{"uneven-tail", "speeds 0.7, 0.7 and 1.7, 3% of the requests take seven times as long, 0.75 of the capacity", func(c *Config) {
			c.setTargets(9, 0.7, 0.7, 1.7)
			for i := range c.Classes {
				c.Classes[i].Tail = Tail{Share: 0.03, Factor: 7}
			}
			c.load(0.75)
		}},
		{"surge-of-one-kind", "2.3 times the streams for 5 s beside reads and writes, 0.65 of the capacity without the surge", func(c *Config) {
			stream := c.Classes[0]
			stream.Name, stream.Rate = Stream, c.Classes[0].Rate+c.Classes[1].Rate
			c.Classes = append(c.Classes, stream)
			c.Surges = []Surge{{Stream, 2 * time.Second, 7 * time.Second, 2.3}}
			c.load(0.65)
		}},
		{"zone-emptied", "one of three zones gets no new flows from 2 s on, 0.6 of the capacity of all", func(c *Config) {
			c.Zones, c.EmptiedZone, c.EmptiedAt = 3, 0, 2*time.Second
			c.setTargets(12, 1)
			c.load(0.6)
		}},
	}
}

// powerLoss makes the fleet one of many small targets of the given speeds in turn, with all
// hosts without power from 1 s on.
func (c *Config) powerLoss(speeds ...float64) {
	c.setTargets(49, speeds...)
	c.Balancers, c.ReportInterval, c.Zones = 23, 200*time.Millisecond, 3
	c.RetryDelay = 5 * time.Millisecond
	c.DownFrom, c.TargetsDown, c.Duration = time.Second, true, 4*time.Second
}

// setTargets replaces the targets by some of 2 slots with the given speeds in turn.
func (c *Config) setTargets(count int, speeds ...float64) {
	c.Targets = nil
	for i := range count {
		c.Targets = append(c.Targets, Target{Speed: speeds[i%len(speeds)], Slots: 2, Queue: 8})
	}
}

// setTimes sets the objective and the timeout of all classes.
func (c *Config) setTimes(objective, timeout time.Duration) {
	for i := range c.Classes {
		c.Classes[i].Objective, c.Classes[i].Timeout = objective, timeout
	}
}

// setLateWorth sets what late answers of all classes are worth.
func (c *Config) setLateWorth(worth float64) {
	for i := range c.Classes {
		c.Classes[i].LateWorth = worth
	}
}

// load sets the rate of all classes to a share of the capacity.
func (c *Config) load(share float64) { c.scale(share * c.Capacity() / c.Offered()) }

// large makes the fleet so large that reports are as old as their bound allows.
func (c *Config) large() {
	const copies = 15
	small := c.Targets
	c.Targets = nil
	for range copies {
		c.Targets = append(c.Targets, small...)
	}
	for i := range c.Targets {
		c.Targets[i].Slots, c.Targets[i].Queue = 2, 8
	}
	c.Balancers, c.ReportInterval = 30, 200*time.Millisecond
	c.scale(copies / 2.0)
}

// Named returns the pattern with a name; false if there is none.
func Named(name string) (Pattern, bool) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, true
		}
	}
	return Pattern{}, false
}

// Config returns the configuration of a run of the pattern with all mechanisms.
func (p Pattern) Config(seed uint64) Config {
	c := Config{
		Classes: []Class{
			{Name: Read, Rate: 360, Work: 30 * time.Millisecond, Objective: 150 * time.Millisecond, Timeout: time.Second, LateWorth: defaultLateWorth, Priority: 2, Retries: 2},
			{Name: Write, Rate: 100, Work: 39 * time.Millisecond, Objective: 200 * time.Millisecond, Timeout: 1200 * time.Millisecond, LateWorth: defaultLateWorth, Priority: 1, Retries: 2},
		},
		Balancers: 6, Zones: defaultZones, ReportInterval: defaultReportInterval, Duration: 8 * time.Second, RetryDelay: 100 * time.Millisecond,
		CallerZone: -1, EmptiedZone: -1,
		Admission: occupancy.DefaultPolicy(), Choice: steering.DefaultPolicy(), Seed: seed,
	}
	for _, speed := range []float64{0.8, 0.8, 1.6, 0.8, 0.8, 1.6, 0.8} {
		c.Targets = append(c.Targets, Target{Speed: speed, Slots: 4, Queue: 16})
	}
	p.change(&c)
	return c
}

// scale multiplies the rate of all classes.
func (c *Config) scale(factor float64) {
	for i := range c.Classes {
		c.Classes[i].Rate *= factor
	}
}

// Capacity returns the number of mean requests per second that the targets can serve at
// best, in the mixture of the classes.
func (c *Config) Capacity() float64 {
	slots, rate, work := 0.0, 0.0, 0.0
	for _, t := range c.Targets {
		slots += float64(t.Slots) * t.Speed
	}
	for _, class := range c.Classes {
		rate += class.Rate
		work += class.Rate * class.meanWork().Seconds()
	}
	return slots * rate / work
}

// Offered returns the number of requests per second that callers begin outside surges.
func (c *Config) Offered() float64 {
	rate := 0.0
	for _, class := range c.Classes {
		rate += class.Rate
	}
	return rate
}
