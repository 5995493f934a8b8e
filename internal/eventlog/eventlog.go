// Package eventlog writes log records about single connections and requests at a limited rate, so that a fault that hits
// very many of them is seen in the log without becoming a load of its own.
package eventlog

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Each kind of record is written at most recordsPerSecond times a second, with bursts of recordBurst.
const (
	recordsPerSecond = 5
	recordBurst      = 20
)

// Log writes records of one kind. Its methods are safe for concurrent use.
type Log struct {
	message    string
	limiter    *rate.Limiter
	suppressed atomic.Int64 // records left out since the last one that was written
}

// New returns a Log whose records have the given message.
func New(message string) *Log {
	return &Log{message: message, limiter: rate.NewLimiter(recordsPerSecond, recordBurst)}
}

// Allow reports whether a record may be written now; if not, it counts as suppressed. A caller asks before it collects
// the attributes of a record.
func (l *Log) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// Info writes a record with the given attributes, as slog.Info does, and the number of suppressed ones before it.
func (l *Log) Info(attributes ...any) {
	if suppressed := l.suppressed.Swap(0); suppressed > 0 {
		attributes = append(attributes, "suppressed", suppressed)
	}
	slog.Info(l.message, attributes...)
}
