package telemetry

import (
	"bytes"
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
	// bufferedBytes bounds the lines that wait for the output: half a second at the
	// highest rate.
	bufferedBytes = 64 << 10
	// flushInterval is the time for which lines are collected. Writing each line by
	// itself took most of the time that the log costs; a process that is killed
	// loses the lines of this time.
	flushInterval = 100 * time.Millisecond
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

// bufferedWriter collects lines for a task that writes them together. A line that
// finds the buffer full is dropped and counted.
type bufferedWriter struct {
	out  io.Writer
	lost atomic.Int64
	// filled wakes the task when the buffer was empty; closed ends it.
	filled, closed chan struct{}
	done           chan struct{}

	mu    sync.Mutex
	lines []byte
	ended bool
}

func newBufferedWriter(w io.Writer) *bufferedWriter {
	b := &bufferedWriter{out: w, filled: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// run writes what was collected for flushInterval, until the writer is closed.
func (b *bufferedWriter) run() {
	defer close(b.done)
	for {
		select {
		case <-b.filled:
		case <-b.closed:
			b.flush()
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-b.closed:
			timer.Stop()
		}
		b.flush()
	}
}

// flush writes the collected lines.
func (b *bufferedWriter) flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines = nil
	b.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := b.out.Write(lines); err != nil {
		// There is no other place to report a failed log output to.
		b.lost.Add(int64(bytes.Count(lines, []byte("\n"))))
	}
}

// room reports whether half of the buffer is free.
func (b *bufferedWriter) room() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.lines) < bufferedBytes/2
}

// Write takes one line.
func (b *bufferedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || len(b.lines)+len(line) > bufferedBytes {
		b.lost.Add(1)
		return len(line), nil
	}
	if len(b.lines) == 0 {
		select {
		case b.filled <- struct{}{}:
		default:
		}
	}
	b.lines = append(b.lines, line...)
	return len(line), nil
}

func (b *bufferedWriter) close() {
	b.mu.Lock()
	ended := b.ended
	b.ended = true
	b.mu.Unlock()
	if !ended {
		close(b.closed)
	}
	<-b.done
}
