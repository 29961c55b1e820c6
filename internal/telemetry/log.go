// Package telemetry provides the numbered log events, metrics and traces of a
// process.
package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// LimitInterval is the minimum time between two lines of a limited event with
// the same error kind. With 19 kinds it limits a flood to a few lines per second.
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

// Logger logs events of the catalogue. It is safe for concurrent use.
type Logger struct {
	out        *log.Logger
	rateLimits map[int]*[kindCount]rateLimit
}

// rateLimit is the state of one limited event and error kind.
type rateLimit struct {
	// next is the earliest time of the next line in Unix nanoseconds.
	next atomic.Int64
	// occurrences counts the occurrences since the last line.
	occurrences atomic.Int64
}

// NewLogger returns a logger that writes to w with the level and format of the
// settings. Nil or empty settings mean level info and format text. It returns an
// error if the level or format is unknown.
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
	return &Logger{out: out, rateLimits: newRateLimits()}, nil
}

// Discard returns a logger without output.
func Discard() *Logger {
	return &Logger{out: log.New(io.Discard), rateLimits: newRateLimits()}
}

func newRateLimits() map[int]*[kindCount]rateLimit {
	rateLimits := make(map[int]*[kindCount]rateLimit)
	for _, event := range Events() {
		if event.Limited {
			rateLimits[event.Number] = &[kindCount]rateLimit{}
		}
	}
	return rateLimits
}

// With returns a logger that adds the pairs of keys and values to every line. It
// shares the rate limits with l.
func (l *Logger) With(keyvals ...any) *Logger {
	return &Logger{out: l.out.With(keyvals...), rateLimits: l.rateLimits}
}

// Log writes an event with its fields as alternating keys and values.
func (l *Logger) Log(event Event, keyvals ...any) {
	pairs := make([]any, 0, len(keyvals)+4)
	pairs = append(pairs, "event", event.Number, "name", event.Name)
	for _, v := range keyvals {
		if err, ok := v.(error); ok {
			// The formatter prints the stack trace of an error value.
			v = err.Error()
		}
		pairs = append(pairs, v)
	}
	l.out.Log(event.Level, event.Message, pairs...)
}

// LogLimited logs an event with an error kind. It writes a line of a limited
// event at most once per LimitInterval and kind, with the number of occurrences
// since the previous line. It does not allocate when no line is due.
func (l *Logger) LogLimited(now time.Time, event Event, service uint32, kind schema.ErrorKind) {
	limits, ok := l.rateLimits[event.Number]
	if !ok {
		l.Log(event, "service", service, "kind", kind.String(), "count", 1)
		return
	}
	limit := &limits[kindIndex(kind)]
	limit.occurrences.Add(1)
	next := limit.next.Load()
	if now.UnixNano() < next {
		return
	}
	if !limit.next.CompareAndSwap(next, now.Add(LimitInterval).UnixNano()) {
		return
	}
	l.Log(event, "service", service, "kind", kind.String(), "count", limit.occurrences.Swap(0))
}
