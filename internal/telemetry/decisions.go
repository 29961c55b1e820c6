package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// jsonSettings are the settings of the log of decisions.
var jsonSettings = &schema.LogSettings{Format: "json"}

const (
	// decisionsPerSecond bounds the lines of one event in a second; lines left
	// out are counted in the next one. With a dozen events it keeps a process
	// below 100 kB of logs a second.
	decisionsPerSecond = 40
	// bufferedLines is the number of lines that wait for the output: a quarter
	// of a second at the highest rate.
	bufferedLines = 256
)

// Decisions logs decisions and changes of belief. It bounds the lines of each
// event in a second and never waits for the output. It is safe for concurrent use.
type Decisions struct {
	logger *Logger
	out    *bufferedWriter
	budget map[int]*budget
}

// budget counts the lines of one event.
type budget struct {
	// second is the second, since the start, that left counts for.
	second atomic.Int64
	used   atomic.Int32
	// omitted counts the lines that were left out.
	omitted atomic.Int64
}

// NewDecisions returns a log that writes JSON lines to w.
func NewDecisions(w io.Writer, keyvals ...any) (*Decisions, error) {
	out := newBufferedWriter(w)
	logger, err := NewLogger(out, jsonSettings)
	if err != nil {
		return nil, err
	}
	d := &Decisions{logger: logger.With(keyvals...), out: out, budget: make(map[int]*budget)}
	for _, event := range Events() {
		d.budget[event.Number] = &budget{}
	}
	return d, nil
}

// started is the origin of the seconds that budgets count.
var started = time.Now()

// Allow reports whether a line of the event may be written now. A caller asks
// before it builds the fields; a line that may not be written is counted.
func (d *Decisions) Allow(event Event) bool {
	b := d.budget[event.Number]
	second := int64(time.Since(started) / time.Second)
	if b.second.Swap(second) != second {
		b.used.Store(0)
	}
	if b.used.Add(1) > decisionsPerSecond {
		b.omitted.Add(1)
		return false
	}
	return true
}

// Log writes a line. Events that packets cause go through Allow first.
func (d *Decisions) Log(event Event, keyvals ...any) {
	// Counts are not handed to a line that may be dropped itself.
	if d.out.room() {
		if omitted := d.budget[event.Number].omitted.Swap(0); omitted > 0 {
			keyvals = append(keyvals, "omitted", omitted)
		}
		if lost := d.out.lost.Swap(0); lost > 0 {
			keyvals = append(keyvals, "lost_lines", lost)
		}
	}
	d.logger.Log(event, keyvals...)
}

// Close writes the lines that wait.
func (d *Decisions) Close() { d.out.close() }

// bufferedWriter hands lines to a task that writes them. A line that finds the
// buffer full is dropped and counted.
type bufferedWriter struct {
	lines chan []byte
	lost  atomic.Int64
	once  sync.Once
	done  chan struct{}
	// mu keeps Write from using the channel after close.
	mu     sync.RWMutex
	closed bool
}

func newBufferedWriter(w io.Writer) *bufferedWriter {
	b := &bufferedWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				// There is no other place to report a failed log output to.
				b.lost.Add(1)
			}
		}
	}()
	return b
}

// room reports whether half of the buffer is free.
func (b *bufferedWriter) room() bool { return len(b.lines) < cap(b.lines)/2 }

// Write takes one line.
func (b *bufferedWriter) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		b.lost.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

func (b *bufferedWriter) close() {
	b.once.Do(func() {
		b.mu.Lock()
		b.closed = true
		close(b.lines)
		b.mu.Unlock()
		<-b.done
	})
}
