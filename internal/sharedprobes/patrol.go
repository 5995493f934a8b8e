// Package sharedprobes joins a router with the others that probe the same nodes: it carries what assignment.Table decides to the
// engine and what the nodes told to the fleet, and the other way round. It decides nothing. All of it runs on the
// engine's goroutine; the fleet's calls are posted there.
package sharedprobes

import (
	"log/slog"
	"strings"

	"cairntiller/internal/assignment"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
	"cairntiller/internal/sexp"
)

const (
	tickEvery = 100_000 // us between looks at what is due: a tenth of a usual interval
	sayEvery  = 2       // ticks between messages: words of one message share what it costs
	probing   = "probe/"
)

var (
	shared  = metrics.New("duties run")
	checked = metrics.New("second opinions")
	words   = metrics.New("words heard")
	used    = metrics.New("words used")
	claims  = metrics.New("duties taken over")
)

// Engine is what the patrol needs of the router's engine.
type Engine interface {
	Post(at int64, do func(now int64))
	After(in int64, do func(now int64))
	ApplyGossip(now int64, node string, at, pos int64, lead int8, silent, alive bool)
	DelegateHealthChecks(node string, to bool)
	HealthCheck(node string)
}

// Pace is how duties are divided: the times in us, and the bounds.
type Settings struct {
	Enabled      bool
	Interval     int64   // between probes of one node by all instances together
	Instances    int     // instances that the operator runs
	MaxProbeRate float64 // probes of one node a second, by all instances, whatever they know of one another
	ClaimRate    float64 // duties a second that one instance takes over
}

// Read takes the pace from the operator's file.
func ReadSettings(p *sexp.Part) Settings {
	probe := p.Part("probe")
	return Settings{Enabled: p.Present(), Interval: probe.Duration("every", 1_000_000, 100_000, 60_000_000),
		Instances: p.Integer("instances", 1, 1, 10_000), MaxProbeRate: p.Number("box-load", 4, 0.1, 1000),
		ClaimRate: p.Number("take-over", 50, 1, 100_000)}
}

// Patrol is one instance's part in the shared duties.
type Service struct {
	engine Engine
	fleet  *membership.Service
	table  *assignment.Table
	asked  map[string]bool // nodes that are being probed on duty; true for a second opinion
	listed map[string]bool // nodes of the whole list that is being read
	left   map[string]bool // nodes on duty; true for those that another instance looks after
	runs   []assignment.DueRun
	said   []assignment.Update
	ticks  int
	taken  int64
}

// New makes an instance's part; it begins with Join.
func New(engine Engine) *Service {
	return &Service{engine: engine, asked: map[string]bool{}, listed: map[string]bool{}, left: map[string]bool{}}
}

// Events takes what the fleet tells, on the engine's goroutine; none is handled before the engine runs.
func (p *Service) Events(now func() int64) membership.Events {
	on := func(do func(now int64)) { p.engine.Post(now(), do) }
	return membership.Events{
		MemberUp: func(name string, weight float64, born uint64) {
			on(func(now int64) {
				p.table.MemberUp(now, name, weight, born)
				p.fleet.RecordRejoins(name, p.table.Rejoins(name))
			})
		},
		MemberDown: func(name string, born uint64, left bool) {
			on(func(now int64) { p.table.MemberDown(now, name, born, left) })
		},
		Updates:  func(all []assignment.Update) { on(func(now int64) { p.hear(now, all) }) },
		Rejoined: func(times int) { on(func(now int64) { p.table.NoteRejoins(now, times) }) },
	}
}

// Join begins to share with a fleet that was started with the patrol's events. It is called before the engine runs.
func (p *Service) Join(now int64, f *membership.Service, at membership.Settings, pace Settings) {
	p.fleet = f
	p.table = assignment.New(now, assignment.Config{Self: at.Name, Weight: at.Weight, Incarnation: f.Incarnation(), Interval: pace.Interval,
		Instances: pace.Instances, MaxRunRate: pace.MaxProbeRate, ClaimRate: pace.ClaimRate})
	p.engine.After(tickEvery, p.tick)
	slog.Info("sharing probes", "name", at.Name, "cluster", at.Cluster, "address", f.Address(), "born", f.Incarnation())
}

// EndpointListed implements engine.SharedProbes: a node that left the list, or drained and is gone, is nobody's duty.
func (p *Service) EndpointListed(now int64, name string, state routing.EndpointState, started int64) {
	if state != routing.Up { // what drains is left alone
		p.drop(name)
		return
	}
	p.listed[name] = true
	if _, known := p.left[name]; !known {
		p.left[name] = false
	}
	p.table.AddTask(now, probing+name, started)
}

// ListApplied implements engine.SharedProbes.
func (p *Service) ListApplied(_ int64, whole bool) {
	if whole {
		for name := range p.left {
			if !p.listed[name] {
				p.drop(name)
			}
		}
	}
	clear(p.listed)
}

func (p *Service) drop(name string) {
	p.table.RemoveTask(probing + name)
	p.fleet.ForgetUpdate(probing + name)
	delete(p.left, name)
}

// tick runs what is due and spreads what was learnt.
func (p *Service) tick(now int64) {
	p.runs = p.table.Tick(now, p.runs)
	for _, one := range p.runs {
		name := strings.TrimPrefix(one.Key, probing)
		if _, out := p.asked[name]; out {
			continue // the last probe has not ended
		}
		shared.Add()
		if one.SecondOpinion {
			checked.Add()
		}
		p.asked[name] = one.SecondOpinion
		p.engine.HealthCheck(name)
	}
	if p.ticks++; p.ticks%sayEvery == 0 {
		if len(p.said) > 0 {
			p.fleet.Broadcast(p.said)
			p.said = nil
		}
		p.mind(now)
	}
	p.engine.After(tickEvery, p.tick)
}

// mind tells the module which nodes another instance looks after.
func (p *Service) mind(now int64) {
	for name, was := range p.left {
		if left := p.table.Delegated(now, probing+name); left != was {
			p.left[name] = left
			p.engine.DelegateHealthChecks(name, left)
		}
	}
	if stats := p.table.Stats(now); stats.Claims != p.taken {
		for range stats.Claims - p.taken {
			claims.Add()
		}
		slog.Debug("duties", "held", p.table.OwnedTasks(), "members", stats.LiveMembers, "slow", stats.SlowMembers, "every", p.table.Interval())
		p.taken = stats.Claims
	}
}

// HealthCheckEnded implements engine.SharedProbes.
func (p *Service) HealthCheckEnded(now int64, node string, o routing.Outcome, pos int64, lead int8, load string) {
	check, ours := p.asked[node]
	if !ours {
		return
	}
	delete(p.asked, node)
	p.said = append(p.said, p.table.RecordRun(now, assignment.Update{Key: probing + node, Unresponsive: o != routing.Answered, Position: pos,
		PrimaryHint: lead, LoadReport: load}, check))
}

// hear passes on what others learnt, as far as it counts.
func (p *Service) hear(now int64, all []assignment.Update) {
	for _, w := range all {
		words.Add()
		u := p.table.HandleUpdate(now, w)
		if u.Position > 0 || u.PrimaryHint != 0 || u.Unresponsive || u.Responsive {
			used.Add()
			p.engine.ApplyGossip(now, strings.TrimPrefix(w.Key, probing), u.LearnedAt, u.Position, u.PrimaryHint, u.Unresponsive, u.Responsive)
		}
	}
}
