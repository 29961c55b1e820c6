// Package telemetry holds what a process reports about itself: numbered log
// events, metrics and traces.
package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// LimitInterval is the least time between two lines of a limited event with
// the same kind. With 19 kinds it bounds a flood to a few lines a second.
const LimitInterval = 10 * time.Second

var levels = map[string]log.Level{
	"":      log.InfoLevel,
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

var formats = map[string]log.Formatter{
	"":     log.TextFormatter,
	"text": log.TextFormatter,
	"json": log.JSONFormatter,
}

// Logger writes events of the catalogue. It is safe for concurrent use.
type Logger struct {
	out    *log.Logger
	limits map[int]*[kindCount]limit
}

// limit holds the state of one limited event and kind.
type limit struct {
	// next is the time from which the next line may be written, as Unix nanoseconds.
	next atomic.Int64
	// pending counts the occurrences since the last line.
	pending atomic.Int64
}

// NewLogger returns a logger that writes to w with the level and format of the
// settings. Nil or empty settings mean level info and text.
func NewLogger(w io.Writer, settings *schema.LogSettings) (*Logger, error) {
	level, ok := levels[settings.GetLevel()]
	if !ok {
		return nil, errors.Errorf("log level %q is not debug, info, warn or error", settings.GetLevel())
	}
	format, ok := formats[settings.GetFormat()]
	if !ok {
		return nil, errors.Errorf("log format %q is not text or json", settings.GetFormat())
	}
	out := log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       format,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
	return &Logger{out: out, limits: newLimits()}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{out: log.New(io.Discard), limits: newLimits()}
}

func newLimits() map[int]*[kindCount]limit {
	limits := make(map[int]*[kindCount]limit)
	for _, event := range Events() {
		if event.Limited {
			limits[event.Number] = &[kindCount]limit{}
		}
	}
	return limits
}

// With returns a logger that adds the pairs to every line. It shares the rate
// limits with l.
func (l *Logger) With(keyvals ...any) *Logger {
	return &Logger{out: l.out.With(keyvals...), limits: l.limits}
}

// Log writes an event with its fields as alternating keys and values.
func (l *Logger) Log(event Event, keyvals ...any) {
	pairs := make([]any, 0, len(keyvals)+4)
	pairs = append(pairs, "event", event.Number, "name", event.Name)
	for _, v := range keyvals {
		if err, ok := v.(error); ok {
			// The formatter would print the stack trace of the error.
			v = err.Error()
		}
		pairs = append(pairs, v)
	}
	l.out.Log(event.Level, event.Message, pairs...)
}

// LogLimited writes a limited event for a kind at most once per LimitInterval
// and adds the number of occurrences since the line before. It does not
// allocate when no line is due.
func (l *Logger) LogLimited(now time.Time, event Event, service uint32, kind schema.ErrorKind) {
	states, ok := l.limits[event.Number]
	if !ok {
		l.Log(event, "service", service, "kind", kind.String(), "count", 1)
		return
	}
	state := &states[kindIndex(kind)]
	state.pending.Add(1)
	next := state.next.Load()
	if now.UnixNano() < next {
		return
	}
	if !state.next.CompareAndSwap(next, now.Add(LimitInterval).UnixNano()) {
		return
	}
	l.Log(event, "service", service, "kind", kind.String(), "count", state.pending.Swap(0))
}
