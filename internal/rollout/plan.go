package rollout

import (
	"fmt"
	"slices"
)

// Kind is what a plan does to its units. The numbers are sent to other instances.
type Kind uint8

// The kinds of plans.
const (
	KindRestart Kind = iota + 1 // each router shuts down in order and is started again by its supervisor
	KindVersion                 // each router changes to another version of its executable, by a restart
	KindNodes                   // each node is drained, kept out of service for a while, and returned
)

var kindNames = [...]string{"", "restart", "version", "nodes"}

// Valid reports whether k is one of the kinds.
func (k Kind) Valid() bool { return k >= KindRestart && k <= KindNodes }

// String returns the kind as written in a plan's file; the zero Kind has no name.
func (k Kind) String() string {
	if k <= KindNodes {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Budget limits how many units may be unavailable at once, by plans or for any other reason.
type Budget struct {
	MaxUnavailable int     // units in all; 0 for no limit besides MaxShare
	MaxShare       float64 // units in all, as a share of all known units of that sort
	MaxPerZone     int     // units of one zone; 0 for no limit
	MaxPerGroup    int     // nodes of one group; 0 for one
	MinReplicas    int     // replicas of a group that must stay in service and be caught up
	MaxGroupLoad   float64 // share of a group's usual load that its unavailable nodes may account for; 0 for no limit. No effect while NodeState.LoadShare is 0
}

// Plan is a rollout that an operator requests. It never changes once started.
type Plan struct {
	ID              string
	Kind            Kind
	Units           []string // members or nodes, in the order in which they are restarted or drained
	TargetVersion   uint64   // KindVersion: the version to install
	PreviousVersion uint64   // KindVersion: the last good version, which a rollback installs
	WaveSizes       []int    // units in each of the first waves; all others form the last one
	WatchTime       int64    // us for which a wave is watched, at least, once all its units are done
	DrainTime       int64    // us for which a drained node stays out of service; 0 until an operator returns it
	ProgressTimeout int64    // us without progress after which the plan halts
	NoRollback      bool     // evidence halts the plan instead of rolling it back
	Budget          Budget
}

// Limits of a plan. Each limits the size of the record, which every voter keeps in memory and each write carries.
const (
	MaxUnits      = 4_000 // of one plan: four times the largest fleet that is simulated
	MaxPlans      = 8     // in progress, and as many ended ones kept
	MaxNameLength = 128   // bytes of a plan's or a unit's name
)

// Defaults of what a plan does not set.
const (
	defaultWatchTime       = 30_000_000  // us: thirty reports of each router
	defaultProgressTimeout = 120_000_000 // us: a router's slow shutdown, its supervisor's delay and its start, with a margin
	defaultMaxShare        = 0.1         // a fleet is sized to lose a tenth
	defaultMaxPerGroup     = 1           // a group of three keeps its primary and a replica
)

// SetDefaults sets the fields that the plan leaves empty. The default waves are two canaries (one in a fleet of fewer
// than twenty), since a single one may not be representative, then a twentieth, a quarter, and the rest.
func (p *Plan) SetDefaults() {
	units := len(p.Units)
	if p.WaveSizes == nil {
		canaries := min(2, max(1, units/10))
		p.WaveSizes = []int{canaries, max(1, units/20), max(1, units/4)}
	}
	if p.WatchTime == 0 {
		p.WatchTime = defaultWatchTime
	}
	if p.ProgressTimeout == 0 {
		p.ProgressTimeout = defaultProgressTimeout
	}
	if p.Budget.MaxShare == 0 {
		p.Budget.MaxShare = defaultMaxShare
	}
	if p.Budget.MaxPerGroup == 0 {
		p.Budget.MaxPerGroup = defaultMaxPerGroup
	}
}

// Validate returns an ErrInvalidPlan that names the fault if the plan is invalid in itself, else nil.
func (p *Plan) Validate() error {
	if err := p.validateUnitNames(); err != nil {
		return err
	}
	switch {
	case p.ID == "" || len(p.ID) > MaxNameLength:
		return refuse(ErrInvalidPlan, "no name, or too long a one")
	case !p.Kind.Valid():
		return refuse(ErrInvalidPlan, "an unknown kind")
	case len(p.Units) == 0 || len(p.Units) > MaxUnits:
		return refuse(ErrInvalidPlan, "%d units, want 1 to %d", len(p.Units), MaxUnits)
	case p.Kind == KindVersion && (p.TargetVersion == 0 || p.TargetVersion == p.PreviousVersion):
		return refuse(ErrInvalidPlan, "no other version to take to")
	case p.Budget.outOfBounds():
		return refuse(ErrInvalidPlan, "a budget out of bounds")
	case p.WatchTime < 0 || p.DrainTime < 0 || p.ProgressTimeout < 0 || slices.ContainsFunc(p.WaveSizes, func(size int) bool { return size < 1 }):
		return refuse(ErrInvalidPlan, "a wave of none, or a time below zero")
	}
	return nil
}

func (p *Plan) validateUnitNames() error {
	seen := map[string]bool{}
	for _, name := range p.Units {
		if name == "" || len(name) > MaxNameLength {
			return refuse(ErrInvalidPlan, "a unit's name of %d bytes", len(name))
		}
		if seen[name] {
			return refuse(ErrInvalidPlan, "%s twice", name)
		}
		seen[name] = true
	}
	return nil
}

func (b *Budget) outOfBounds() bool {
	inRange := b.MaxShare >= 0 && b.MaxShare <= 1 && b.MaxGroupLoad >= 0 // false for NaN
	return !inRange || b.MaxUnavailable < 0 || b.MaxPerZone < 0 || b.MaxPerGroup < 0
}

// waveOf returns the wave of a unit, counted from 0.
func (p *Plan) waveOf(unit int) int {
	for wave, size := range p.WaveSizes {
		if unit < size {
			return wave
		}
		unit -= size
	}
	return len(p.WaveSizes)
}

// PreviewWaves returns the units of each wave of a plan, and the largest number of units that may be unavailable at
// once. known is the number of known units of that sort; it counts as at least the number of the plan's units.
func PreviewWaves(p Plan, known int) (waves [][]string, maxUnavailable int) {
	p.SetDefaults()
	for i, name := range p.Units {
		wave := p.waveOf(i)
		for len(waves) <= wave {
			waves = append(waves, nil)
		}
		waves[wave] = append(waves[wave], name)
	}
	return waves, p.Budget.Limit(max(known, len(p.Units)))
}
