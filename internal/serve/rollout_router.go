package serve

import (
	"sync/atomic"
	"time"

	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
)

// rolloutRouter implements rolloutservice.Router, the router's interface to rollouts. Its methods may be called from any
// goroutine.
type rolloutRouter struct {
	now             func() int64 // us
	engine          *engine.Engine
	startedAt       time.Time
	startupDuration atomic.Int64 // us from startedAt until the router became ready; 0 before that
	leaving         atomic.Bool
	leave           chan struct{} // receives a value when a rollout makes the router shut down
}

// recordReady records how long the startup took, when the router begins to accept commands. Only the first call counts.
func (r *rolloutRouter) recordReady() {
	r.startupDuration.CompareAndSwap(0, max(1, time.Since(r.startedAt).Microseconds()))
}

// Counts implements rolloutservice.Router.
func (r *rolloutRouter) Counts() (counts rollout.CommandCounts, ready bool, startupDuration int64) {
	totals := inflight.ReadTotals()
	startupDuration = r.startupDuration.Load()
	ready = startupDuration > 0 && !r.leaving.Load()
	return rollout.CommandCounts{
		Commands: totals.Answered + totals.Failed + totals.Rejected,
		Failed:   totals.Failed,
		Late:     engine.LateAnswers(),
		Rejected: totals.Rejected,
	}, ready, startupDuration
}

// Drain implements rolloutservice.Router.
func (r *rolloutRouter) Drain(nodes []string) {
	r.engine.Post(r.now(), func(now int64) { r.engine.SetDrained(now, nodes) })
}

// QueryNodes implements rolloutservice.Router.
func (r *rolloutRouter) QueryNodes(callback func([]rolloutservice.Node)) {
	r.engine.Post(r.now(), func(now int64) {
		var all []rolloutservice.Node
		for _, status := range r.engine.NodeStatuses() {
			state := rollout.NodeState{
				Name:     status.Name,
				Zone:     status.Zone,
				Group:    status.Shard,
				Primary:  status.Primary,
				Up:       status.Available,
				CaughtUp: rollout.IsCaughtUp(now - status.Position),
			}
			all = append(all, rolloutservice.Node{NodeState: state, OpenCommands: status.OpenAttempts, Answers: status.Answered})
		}
		callback(all)
	})
}

// Leave implements rolloutservice.Router.
func (r *rolloutRouter) Leave() {
	r.leaving.Store(true)
	select {
	case r.leave <- struct{}{}:
	default: // a shutdown is already requested
	}
}
