package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Served is what a router counts of its commands since its process started; figures only grow.
type CommandCounts struct {
	Commands, Failed, Late, Throttled uint64
}

func (s CommandCounts) minus(o CommandCounts) CommandCounts {
	return CommandCounts{s.Commands - o.Commands, s.Failed - o.Failed, s.Late - o.Late, s.Throttled - o.Throttled}
}

func (s CommandCounts) plus(o CommandCounts) CommandCounts {
	return CommandCounts{s.Commands + o.Commands, s.Failed + o.Failed, s.Late + o.Late, s.Throttled + o.Throttled}
}

// grew tells whether one count follows another of the same process.
func (s CommandCounts) continues(o CommandCounts) bool {
	return s.Commands >= o.Commands && s.Failed >= o.Failed && s.Late >= o.Late && s.Throttled >= o.Throttled
}

const (
	minCommands         = 1_200 // commands of touched routers on which a wave is judged: 2% of them are twenty-four
	minBadCommands      = 5     // bad ends of touched routers below which nothing is concluded
	minShareDifference  = 0.008 // by how much their share must lie above that of the others: half of the 2% that must be found
	suspectDeviations   = 2.0   // deviations from which a wave is watched for longer before the next one begins
	haltDeviations      = 5.0   // and by how many deviations: it is looked at each second, for hours
	minUsualShare       = 5e-4  // share of bad ends that counts as usual where none was seen
	minCrashes          = 2     // processes of touched routers that ended by themselves, at the least
	maxCrashProbability = 1e-3  // chance under which so many of all crashes fall on touched routers by themselves
	upperQuantile       = 0.9   // quantile of the untouched ones' start times and memory
	startupTimeFactor   = 3.0   // times it that a touched one's may be
	startupTimeMargin   = 2e6   // us beside
	memoryFactor        = 1.5
	memoryMargin        = 16 << 20 // bytes
)

// side is one side of a comparison: what routers did since it began, by router.
type cohort struct {
	counts        map[string]CommandCounts
	crashes       int
	observedTime  int64 // us that its routers were seen, in all
	startupTimes  map[string]int64
	residentBytes map[string]int64
}

func newCohort() cohort {
	return cohort{counts: map[string]CommandCounts{}, startupTimes: map[string]int64{}, residentBytes: map[string]int64{}}
}

// judge compares routers that a plan has touched with those it has not, over the same time.
type canaryAnalysis struct {
	touched, untouched cohort
}

func newCanaryAnalysis() *canaryAnalysis { return &canaryAnalysis{newCohort(), newCohort()} }

// total sums a side up.
func (s *cohort) total() (t CommandCounts) {
	for _, one := range s.counts {
		t = t.plus(one)
	}
	return t
}

// verdict says why the plan must halt, "" for no reason; doubt tells that a reason may be near.
func (j *canaryAnalysis) evaluate() (doubt bool, why string) {
	a, b := j.touched.total(), j.untouched.total()
	for _, m := range []struct {
		name string
		of   func(CommandCounts) uint64
	}{
		{"failed", func(s CommandCounts) uint64 { return s.Failed }},
		{"late", func(s CommandCounts) uint64 { return s.Late }},
		{"throttled", func(s CommandCounts) uint64 { return s.Throttled }},
	} {
		if b.Commands == 0 || a.Commands == 0 || m.of(a) < minBadCommands {
			continue
		}
		mine, usual := float64(m.of(a))/float64(a.Commands), float64(m.of(b))/float64(b.Commands)
		both := float64(m.of(a)+m.of(b)) / float64(a.Commands+b.Commands) // what all have, if the plan makes no difference
		both = min(max(both, minUsualShare), 1-minUsualShare)
		sd := math.Sqrt(j.untouched.overdispersion(m.of, min(max(usual, minUsualShare), 1-minUsualShare)) * both * (1 - both) * (1/float64(a.Commands) + 1/float64(b.Commands)))
		doubt = doubt || mine-usual > minShareDifference/2 && mine-usual > suspectDeviations*sd
		if mine-usual > minShareDifference && mine-usual > haltDeviations*sd {
			return false, fmt.Sprintf("%.1f%% of %d commands %s at routers that it touched, %.1f%% of %d at the others in the same time",
				100*mine, a.Commands, m.name, 100*usual, b.Commands)
		}
	}
	share := float64(j.touched.observedTime) / float64(max(j.touched.observedTime+j.untouched.observedTime, 1))
	if n, all := j.touched.crashes, j.touched.crashes+j.untouched.crashes; n >= minCrashes && binomialTail(all, n, share) < maxCrashProbability {
		return false, fmt.Sprintf("%d of %d processes that ended by themselves were of routers that it touched, which make %.0f%% of the time",
			n, all, 100*share)
	}
	if mine, usual := median(j.touched.startupTimes), quantile(j.untouched.startupTimes, upperQuantile); usual > 0 && float64(mine) > startupTimeFactor*float64(usual)+startupTimeMargin {
		return false, fmt.Sprintf("routers that it touched take %.1f s to start, the others took up to %.1f s", float64(mine)/1e6, float64(usual)/1e6)
	}
	if mine, usual := median(j.touched.residentBytes), quantile(j.untouched.residentBytes, upperQuantile); usual > 0 && float64(mine) > memoryFactor*float64(usual)+memoryMargin {
		return false, fmt.Sprintf("routers that it touched take %d MB, the others up to %d MB", mine>>20, usual>>20)
	}
	return doubt, ""
}

// tail is the chance of at least so many hits in n tries of chance p each.
func binomialTail(n, least int, p float64) (sum float64) {
	one := math.Pow(1-p, float64(n)) // of no hit
	for k := 0; k <= n; k++ {
		if k >= least {
			sum += one
		}
		if p < 1 {
			one *= float64(n-k) / float64(k+1) * p / (1 - p)
		} else if one = 0; k == n-1 {
			one = 1
		}
	}
	return sum
}

// spread is by how much routers differ more than chance lets them: their groups, zones and callers are not alike. It is
// Pearson's statistic a degree of freedom, and one at the least.
func (s *cohort) overdispersion(of func(CommandCounts) uint64, base float64) float64 {
	sum, n := 0.0, 0
	for _, one := range s.counts {
		if one.Commands == 0 {
			continue
		}
		want := float64(one.Commands) * base
		sum += (float64(of(one)) - want) * (float64(of(one)) - want) / (want * (1 - base))
		n++
	}
	if n < 2 {
		return 1
	}
	return max(1, sum/float64(n-1))
}

// enough tells whether touched routers have answered enough to be judged on.
func (j *canaryAnalysis) hasEnoughCommands() bool { return j.touched.total().Commands >= minCommands }

func median(all map[string]int64) int64 { return quantile(all, 0.5) }

func quantile(all map[string]int64, q float64) int64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(all))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
