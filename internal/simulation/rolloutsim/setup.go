package rolloutsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairntiller/internal/rollout"
)

// Setup is what a run is made of.
type Setup struct {
	Seed              uint64
	Routers           int
	Voters            int  // of the routers, the first ones
	Groups            int  // of three nodes each
	DurableVoters     bool // a voter that restarts remembers its record
	Faults            bool
	ExtraFailureShare float64 // share of commands that the new version fails, beside the usual
	Plans             []rollout.Plan
	FaultTime         int64 // us of faults; then all is mended
	QuietTime         int64 // us to play after it
	Planted           Mistake
}

// Result is what a run measured.
type Result struct {
	Hash            uint64 // over kills, leaders, departures and plans' states
	Events          int64
	Messages        int64
	Leaders         int
	MaxUnavailable  int     // routers out by plans at once
	PlanDurations   []int64 // us that each ended plan took
	HaltsByEvidence int
}

// MeanTimeOut is how long a router is out at the mean, from its slot to its proof: what it still serves, its stop, its
// supervisor's pause, its start, a second's report, and twenty commands.
const MeanTimeOut = 7 * time.Second

// MixedFaults draws a setup of mixed faults from a seed.
func MixedFaults(seed uint64) Setup {
	rng := rand.New(rand.NewPCG(seed, 10))
	s := Setup{
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
		for place := range nodesPerGroup {
			nodes = append(nodes, nodeName(group, place))
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

// VersionRollout draws a setup without faults in which a new version goes round that fails so many more of its commands.
func VersionRollout(seed uint64, extraFailureShare float64) Setup {
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

func nodeName(group, place int) string { return fmt.Sprintf("s-%d%c", group, 'a'+place) }
