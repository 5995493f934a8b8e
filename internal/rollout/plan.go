package rollout

import (
	"fmt"
	"slices"
)

// Kind is what a plan does to its units. The numbers are sent to other instances.
type Kind uint8

// The kinds of plans.
const (
	KindRestart Kind = iota + 1 // each router leaves in order and is started again by its supervisor
	KindVersion                 // each router changes to another version of its file, by a restart
	KindNodes                   // each node is drained, kept out for a while, and returned
)

var kindNames = [...]string{"", "restart", "version", "nodes"}

// Valid reports whether there is such a kind.
func (k Kind) Valid() bool { return k >= KindRestart && k <= KindNodes }

// String returns the kind as a plan's file says it; the zero Kind has no name.
func (k Kind) String() string {
	if k <= KindNodes {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Budget is how much may be unavailable at once, by plans or for any other reason.
type Budget struct {
	MaxUnavailable int     // units in all; 0 for no bound beside MaxShare
	MaxShare       float64 // units in all, as a share of all known ones of that sort
	MaxPerZone     int     // units of one zone; 0 for no bound
	MaxPerGroup    int     // nodes of one group; 0 for one
	MinReplicas    int     // of a group that stay in service, near the log's end
	MaxGroupWork   float64 // share of a group's usual work that may be without its nodes; 0 for no bound. No effect while NodeState.WorkShare is 0
}

// Plan is what an operator asks for. Once started it never changes.
type Plan struct {
	ID              string
	Kind            Kind
	Units           []string // members or nodes, in the order in which they go
	TargetVersion   uint64   // KindVersion: the version to which they change
	PreviousVersion uint64   // KindVersion: the last good one, to which a rollback goes
	WaveSizes       []int    // units in each of the first waves; all others make the last one
	WatchTime       int64    // us for which a wave is watched, at the least, once all its units are done
	DrainTime       int64    // us for which a drained node stays out; 0 until an operator returns it
	ProgressTimeout int64    // us without progress after which the plan halts
	NoRollback      bool     // evidence halts it instead of rolling it back
	Budget          Budget
}

// The bounds of a plan. Each bounds the record, which every voter keeps in memory and each write carries.
const (
	MaxUnits      = 4_000 // of one plan: four times the largest fleet that is simulated
	MaxPlans      = 8     // under way, and as many ended ones kept
	MaxNameLength = 128   // bytes of a plan's or a unit's name
)

// The defaults of what a plan leaves open.
const (
	defaultWatchTime       = 30_000_000  // us: thirty reports of each router
	defaultProgressTimeout = 120_000_000 // us: a router's slow stop, its supervisor's pause and its start, with room
	defaultMaxShare        = 0.1         // a fleet is sized to lose a tenth
	defaultMaxPerGroup     = 1           // a group of three keeps its primary and a replica
)

// SetDefaults fills in what the plan leaves open. The usual waves are two canaries, for one alone may be unlike the others (one
// in a fleet of fewer than twenty), a twentieth, a quarter, and the rest.
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

// Validate returns an ErrInvalidPlan that says what is wrong with the plan by itself, or nil.
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
	inRange := b.MaxShare >= 0 && b.MaxShare <= 1 && b.MaxGroupWork >= 0 // false for NaN
	return !inRange || b.MaxUnavailable < 0 || b.MaxPerZone < 0 || b.MaxPerGroup < 0
}

// waveOf returns the number of the wave in which a unit goes; the first is 0.
func (p *Plan) waveOf(unit int) int {
	for wave, size := range p.WaveSizes {
		if unit < size {
			return wave
		}
		unit -= size
	}
	return len(p.WaveSizes)
}

// PreviewWaves returns the units of each wave of a plan, and the greatest number that may be unavailable at once if so many
// units of that sort are known, or at least those of the plan.
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
