package serve

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"time"

	counters "cairntiller/internal/metrics"
)

const (
	// memoryCheckInterval is the interval between checks of the process's memory.
	memoryCheckInterval = time.Second
	// memoryWarningShare is the fraction of the usable memory from which on the use of memory is logged.
	memoryWarningShare = 0.75
)

// The readings of the Go runtime that a memoryWatch takes.
const (
	runtimeTotal      = "/memory/classes/total:bytes"
	runtimeReleased   = "/memory/classes/heap/released:bytes"
	runtimeObjects    = "/memory/classes/heap/objects:bytes"
	runtimeStacks     = "/memory/classes/heap/stacks:bytes"
	runtimeGoroutines = "/sched/goroutines:goroutines"
)

var mostMemory = counters.New("most memory of the runtime, bytes")

// memoryWatch logs what holds the process's memory while it is close to its limit.
type memoryWatch struct {
	limit  int64        // bytes
	owners func() []any // attributes for the log: what the parts of the router hold
}

// run checks the memory at intervals until the context ends.
func (w memoryWatch) run(ctx context.Context) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.check()
		case <-ctx.Done():
			return
		}
	}
}

func (w memoryWatch) check() {
	readings := []metrics.Sample{{Name: runtimeTotal}, {Name: runtimeReleased}, {Name: runtimeObjects}, {Name: runtimeStacks}, {Name: runtimeGoroutines}}
	metrics.Read(readings)
	used := int64(readings[0].Value.Uint64() - readings[1].Value.Uint64())
	mostMemory.RaiseTo(used)
	if float64(used) < memoryWarningShare*float64(w.limit) {
		return
	}
	attributes := []any{
		"bytes", used,
		"limit", w.limit,
		"objects", readings[2].Value.Uint64(),
		"stacks", readings[3].Value.Uint64(),
		"goroutines", readings[4].Value.Uint64(),
	}
	slog.Warn("memory is close to its limit", append(attributes, w.owners()...)...)
}
