package rolloutservice

import (
	"slices"
	"strconv"

	"cairntiller/internal/rollout"
	"cairntiller/internal/sexp"
)

// A plan's file is an S-expression with one part, (plan …). docs/operate/releases.md describes it for operators; only
// this file maps its names to rollout.Plan.

const (
	maxVersion  = 1 << 40
	maxPlanTime = 86_400_000_000 // us: a day
)

var kindsByName = map[string]rollout.Kind{"restart": rollout.KindRestart, "version": rollout.KindVersion, "nodes": rollout.KindNodes}

// ReadPlan reads an operator's plan from a file. The error names every fault with its position.
func ReadPlan(path string) (p rollout.Plan, err error) {
	file, err := sexp.ReadFile(path)
	if err != nil {
		return p, err
	}
	part := file.Part("plan")
	budget := part.Part("budget")
	kind := part.Text("kind", "")
	p = rollout.Plan{
		ID:              part.Text("id", ""),
		Kind:            kindsByName[kind],
		Units:           part.Texts("units"),
		TargetVersion:   uint64(part.Integer("want", 0, 0, maxVersion)),
		PreviousVersion: uint64(part.Integer("was", 0, 0, maxVersion)),
		WatchTime:       part.Duration("watch", 0, 0, maxPlanTime),
		DrainTime:       part.Duration("rest", 0, 0, maxPlanTime),
		ProgressTimeout: part.Duration("patience", 0, 0, maxPlanTime),
		NoRollback:      part.Text("stay", "no") == "yes",
		Budget: rollout.Budget{
			MaxUnavailable: budget.Integer("most", 0, 0, rollout.MaxUnits),
			MaxShare:       budget.Number("share", 0, 0, 100) / 100,
			MaxPerZone:     budget.Integer("zone", 0, 0, rollout.MaxUnits),
			MaxPerGroup:    budget.Integer("group", 0, 0, 100),
			MinReplicas:    budget.Integer("replicas", 0, 0, 100),
			MaxGroupLoad:   budget.Number("work", 0, 0, 100) / 100,
		},
	}
	for _, text := range part.Texts("waves") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 1 {
			part.AddError("waves", strconv.Quote(text), "a number of units, such as 3")
		}
		p.WaveSizes = append(p.WaveSizes, size)
	}
	if p.Kind == 0 {
		part.AddError("kind", strconv.Quote(kind), "one of nodes, restart, version")
	} else if err := p.Validate(); err != nil {
		part.AddError("", err.Error(), "a valid plan")
	}
	if slices.Contains(p.Units, "") {
		part.AddError("units", "an empty name", "names of members or nodes")
	}
	return p, file.Err()
}
