package serve

import (
	"sync/atomic"
	"time"

	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
)

// self is the router as its part in releases sees it.
type self struct {
	now     func() int64
	e       *engine.Engine
	began   time.Time
	ready   atomic.Int64 // us from its start until it took commands, 0 for not yet
	leaving atomic.Bool
	leave   chan struct{}
}

// Figures implements rolloutservice.Router.
func (s *self) Counts() (f rollout.CommandCounts, ready bool, startedIn int64) {
	totals := inflight.ReadTotals()
	startedIn = s.ready.Load()
	return rollout.CommandCounts{Commands: totals.Answered + totals.Failed + totals.Rejected, Failed: totals.Failed, Late: engine.LateAnswers(), Throttled: totals.Rejected}, startedIn > 0 && !s.leaving.Load(), startedIn
}

// Drain implements rolloutservice.Router.
func (s *self) Drain(nodes []string) {
	s.e.Post(s.now(), func(now int64) { s.e.SetDrained(now, nodes) })
}

// Look implements rolloutservice.Router.
func (s *self) QueryNodes(take func([]rolloutservice.Node)) {
	s.e.Post(s.now(), func(now int64) {
		var all []rolloutservice.Node
		for _, k := range s.e.NodeStatuses() {
			all = append(all, rolloutservice.Node{NodeState: rollout.NodeState{Name: k.Name, Zone: k.Zone, Group: k.Shard, Primary: k.Primary, Up: k.Available,
				NearLogEnd: rollout.IsNearLogEnd(now - k.Position)}, OpenCommands: k.OpenAttempts, Answers: k.Answered})
		}
		take(all)
	})
}

// Leave implements rolloutservice.Router.
func (s *self) Leave() {
	s.leaving.Store(true)
	select {
	case s.leave <- struct{}{}:
	default:
	}
}

// opened notes that it takes commands.
func (s *self) opened() { s.ready.CompareAndSwap(0, max(1, time.Since(s.began).Microseconds())) }
