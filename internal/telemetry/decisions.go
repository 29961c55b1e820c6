package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// jsonSettings are the log settings of a DecisionLog.
var jsonSettings = &schema.LogSettings{Format: "json"}

const (
	// decisionsPerSecond is the limit on lines per second of each event. The next
	// line written carries the number of omitted ones. With a dozen events it
	// keeps the log of a process below 100 kB/s.
	decisionsPerSecond = 40
	// bufferedLines is the number of lines buffered for the output: half a second
	// of a dozen events at that limit.
	bufferedLines = 256
)

// DecisionLog logs decisions on segments and changes of the view as JSON lines. It
// limits the rate of each event and never blocks on the output. It is safe for
// concurrent use.
type DecisionLog struct {
	logger  *Logger
	out     *bufferedWriter
	budgets map[int]*lineBudget
}

// lineBudget limits the lines of one event.
type lineBudget struct {
	mu sync.Mutex
	// second is the number of the second, since processStart, to which used applies.
	second int64
	used   int
	// omitted counts the lines that Allow did not permit since the last line
	// written.
	omitted atomic.Int64
}

// NewDecisionLog returns a log that writes JSON lines to w, each with the pairs of
// keys and values added. The caller must call Close.
func NewDecisionLog(w io.Writer, keyvals ...any) (*DecisionLog, error) {
	out := newBufferedWriter(w)
	logger, err := NewLogger(out, jsonSettings)
	if err != nil {
		return nil, err
	}
	d := &DecisionLog{logger: logger.With(keyvals...), out: out, budgets: make(map[int]*lineBudget)}
	for _, event := range Events() {
		d.budgets[event.Number] = &lineBudget{}
	}
	return d, nil
}

// processStart is the origin of budget.second.
var processStart = time.Now()

// Allow reports whether a line of the event may be written now, and counts the
// line as omitted if not. It is cheap, so that callers can check it before they
// build the fields.
func (d *DecisionLog) Allow(event Event) bool {
	return d.budgets[event.Number].allow(int64(time.Since(processStart) / time.Second))
}

// allow reports whether another line fits the limit in the given second.
func (b *lineBudget) allow(second int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second > b.second {
		b.second, b.used = second, 0
	}
	if b.used >= decisionsPerSecond {
		b.omitted.Add(1)
		return false
	}
	b.used++
	return true
}

// Log writes an event with its fields as alternating keys and values. For events
// caused by packets, call Allow first.
func (d *DecisionLog) Log(event Event, keyvals ...any) {
	// While the buffer is more than half full, this line may be dropped itself;
	// the counts are kept for a later line.
	if d.out.halfFree() {
		if omitted := d.budgets[event.Number].omitted.Swap(0); omitted > 0 {
			keyvals = append(keyvals, "omitted", omitted)
		}
		if lost := d.out.lost.Swap(0); lost > 0 {
			keyvals = append(keyvals, "lost_lines", lost)
		}
	}
	d.logger.Log(event, keyvals...)
}

// Close writes the buffered lines. Lines logged later are dropped.
func (d *DecisionLog) Close() { d.out.close() }

// bufferedWriter writes lines from a goroutine of its own. A line that finds the
// buffer full is dropped and counted in lost.
type bufferedWriter struct {
	lines chan []byte
	lost  atomic.Int64
	once  sync.Once
	done  chan struct{}
	// mu prevents a send on lines after it is closed.
	mu     sync.RWMutex
	closed bool
}

func newBufferedWriter(w io.Writer) *bufferedWriter {
	b := &bufferedWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				// A failed log output cannot be reported elsewhere.
				b.lost.Add(1)
			}
		}
	}()
	return b
}

// halfFree reports whether more than half of the buffer is free.
func (b *bufferedWriter) halfFree() bool { return len(b.lines) < cap(b.lines)/2 }

// Write buffers one line. It never blocks and never returns an error.
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
