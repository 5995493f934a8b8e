package rolloutsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairntiller/internal/rollout"
)

// Scenario holds the parameters of a run.
type Scenario struct {
	Seed              uint64
	Routers           int
	Voters            int     // the first routers are the voters
	Groups            int     // number of groups, of nodesPerGroup nodes each
	DurableVoters     bool    // voters keep their record across restarts
	Faults            bool    // inject random faults
	ExtraFailureShare float64 // additional share of failed commands of the new version
	Plans             []rollout.Plan
	FaultTime         int64 // duration of the phase with faults, us
	QuietTime         int64 // duration of the phase after all faults ended, us
	PlantedMistake    Mistake
}

// Result holds the measurements of a run.
type Result struct {
	Hash            uint64 // over kills, leader changes, departures and plan states
	Events          int64
	Messages        int64
	Leaders         int
	MaxUnavailable  int     // most routers out of service by plans at the same time
	PlanDurations   []int64 // duration of each ended plan, us
	HaltsByEvidence int     // plans halted or rolled back on evidence of more failures
}

// MeanTimeOut is the mean time between the grant of a router's slot and the proof that it is back. It covers finishing open
// commands, the stop, the supervisor's delay, the start, the wait for the next report (1 s), and serving twenty commands.
const MeanTimeOut = 7 * time.Second

// MixedFaults returns a random scenario with mixed faults for a seed.
func MixedFaults(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 10))
	s := Scenario{
		Seed:          seed,
		Routers:       10 + rng.IntN(15),
		Voters:        []int{3, 3, 5}[rng.IntN(3)],
		Groups:        3 + rng.IntN(4),
		DurableVoters: rng.IntN(2) == 0,
		Faults:        true,
		FaultTime:     90_000_000,
		QuietTime:     420_000_000,
	}
	if rng.IntN(8) == 0 {
		s.Routers = 40 + rng.IntN(40)
	}
	var routers, nodes []string
	for i := range s.Routers {
		routers = append(routers, routerName(i))
	}
	for group := range s.Groups {
		for indexInGroup := range nodesPerGroup {
			nodes = append(nodes, nodeName(group, indexInGroup))
		}
	}
	rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	first := rollout.Plan{
		ID:              "first",
		Kind:            rollout.KindRestart,
		Units:           routers,
		WatchTime:       5_000_000,
		ProgressTimeout: 30_000_000,
		Budget:          rollout.Budget{MaxShare: 0.1 + 0.2*rng.Float64(), MaxPerZone: rng.IntN(4), MinReplicas: rng.IntN(2)},
	}
	if rng.IntN(2) == 0 {
		first.Kind = rollout.KindVersion
		first.TargetVersion = 2
		first.PreviousVersion = 1
		if rng.IntN(3) == 0 {
			s.ExtraFailureShare = 0.02 + 0.1*rng.Float64()
		}
	}
	s.Plans = append(s.Plans, first)
	if rng.IntN(2) == 0 {
		s.Plans = append(s.Plans, rollout.Plan{
			ID:              "boxes",
			Kind:            rollout.KindNodes,
			Units:           nodes[:1+rng.IntN(len(nodes))],
			WatchTime:       3_000_000,
			DrainTime:       4_000_000,
			ProgressTimeout: 30_000_000,
			Budget:          rollout.Budget{MaxShare: 0.34, MinReplicas: rng.IntN(2)},
		})
	}
	return s
}

// VersionRollout returns a random scenario without faults that rolls out a new version, which fails an additional share of its
// commands.
func VersionRollout(seed uint64, extraFailureShare float64) Scenario {
	s := MixedFaults(seed)
	s.Faults = false
	s.ExtraFailureShare = extraFailureShare
	s.Plans = s.Plans[:1]
	s.FaultTime = 300_000_000
	s.QuietTime = 900_000_000
	p := &s.Plans[0]
	p.Kind = rollout.KindVersion
	p.TargetVersion = 2
	p.PreviousVersion = 1
	p.WatchTime = 30_000_000
	p.ProgressTimeout = 120_000_000
	return s
}

const nodesPerGroup = 3

func routerName(i int) string { return fmt.Sprintf("r%04d", i) }

func nodeName(group, indexInGroup int) string { return fmt.Sprintf("s-%d%c", group, 'a'+indexInGroup) }
