package serve

import (
	"sync/atomic"
	"time"

	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
)

// rolloutRouter is the router as rollouts see it. It implements rolloutservice.Router; its methods may be called from
// any goroutine.
type rolloutRouter struct {
	now             func() int64 // us
	engine          *engine.Engine
	startedAt       time.Time
	startupDuration atomic.Int64 // us from startedAt until the router was ready; 0 until then
	leaving         atomic.Bool
	leave           chan struct{} // holds a value once a rollout wants the router to end
}

// noteReady notes that the router takes commands; only the first call counts.
func (r *rolloutRouter) noteReady() {
	r.startupDuration.CompareAndSwap(0, max(1, time.Since(r.startedAt).Microseconds()))
}

// Counts implements rolloutservice.Router.
func (r *rolloutRouter) Counts() (f rollout.CommandCounts, ready bool, startupDuration int64) {
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
func (r *rolloutRouter) QueryNodes(take func([]rolloutservice.Node)) {
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
		take(all)
	})
}

// Leave implements rolloutservice.Router.
func (r *rolloutRouter) Leave() {
	r.leaving.Store(true)
	select {
	case r.leave <- struct{}{}:
	default: // it ends already
	}
}
