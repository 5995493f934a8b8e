package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// The canary analysis: routers that a plan has touched are compared with those that it has not, over the same time. A fixed
// limit would halt a good version while all routers do badly, and miss a bad one while all others do well.

const (
	// minCommands is how many commands of touched routers a conclusion needs: a version that fails 2% of them must be
	// found, and that many commands give twenty-four failures.
	minCommands = 1_200

	// minBadCommands is the least number of bad commands of touched routers from which anything is concluded: fewer may be
	// one client's mistakes.
	minBadCommands = 5

	// minShareDifference is by how much the share of bad commands must lie above that of the untouched routers for a halt:
	// less than half of the 2% that must be found. Half of it makes a wave suspect (compareShares).
	minShareDifference = 0.008

	// suspectDeviations is the number of standard deviations from which on a wave is watched for longer before the next one
	// begins.
	suspectDeviations = 2.0

	// haltDeviations is the number of standard deviations from which on a plan halts. The comparison is made at each
	// tick, on counts that are new each second, for hours: with three deviations good versions would halt by chance.
	haltDeviations = 5.0

	// minUsualShare is the share of bad commands that counts as usual if fewer were seen: a fleet without a failure so far
	// must not halt at the first ones.
	minUsualShare = 5e-4

	// minCrashes is the least number of processes of touched routers that must have ended by themselves for a halt: one may
	// be its machine's fault.
	minCrashes = 2

	// maxCrashProbability is a probability. A plan halts if so many of all crashes would fall on touched routers by chance
	// with less than it. A plain count would not do: when nearly all routers are touched, nearly all crashes fall on them.
	maxCrashProbability = 1e-3

	// upperQuantile is the quantile of the untouched routers' startup times and memory with which touched ones are compared:
	// some routers are always slower or larger than most.
	upperQuantile = 0.9

	startupTimeFactor = 3.0      // times that quantile
	startupTimeMargin = 2e6      // us added to it: a second or two is no evidence
	memoryFactor      = 1.5      // times that quantile
	memoryMargin      = 16 << 20 // bytes added to it: caches fill differently
)

// CommandCounts is what a router counts of its commands since its process started; figures only grow.
type CommandCounts struct {
	Commands uint64 // all that ended
	Failed   uint64
	Late     uint64 // answered after their latency objective
	Rejected uint64 // to protect the fleet; operators see "throttled"
}

func (c CommandCounts) minus(other CommandCounts) CommandCounts {
	return CommandCounts{
		Commands: c.Commands - other.Commands,
		Failed:   c.Failed - other.Failed,
		Late:     c.Late - other.Late,
		Rejected: c.Rejected - other.Rejected,
	}
}

func (c CommandCounts) plus(other CommandCounts) CommandCounts {
	return CommandCounts{
		Commands: c.Commands + other.Commands,
		Failed:   c.Failed + other.Failed,
		Late:     c.Late + other.Late,
		Rejected: c.Rejected + other.Rejected,
	}
}

// follows reports whether c can be a later count of the process that counted earlier: no figure is smaller.
func (c CommandCounts) follows(earlier CommandCounts) bool {
	return c.Commands >= earlier.Commands && c.Failed >= earlier.Failed && c.Late >= earlier.Late && c.Rejected >= earlier.Rejected
}

// cohort is one side of the comparison: what its routers did since the analysis began.
type cohort struct {
	counts        map[string]CommandCounts // by router
	crashes       int                      // processes that ended by themselves
	observedTime  int64                    // us that its routers were observed, in all
	startupTimes  map[string]int64         // us, by router
	residentBytes map[string]int64         // by router
}

func newCohort() cohort {
	return cohort{counts: map[string]CommandCounts{}, startupTimes: map[string]int64{}, residentBytes: map[string]int64{}}
}

// total returns the sum of the cohort's commands.
func (c *cohort) total() CommandCounts {
	var sum CommandCounts
	for _, counts := range c.counts {
		sum = sum.plus(counts)
	}
	return sum
}

// canaryAnalysis compares routers that a plan has touched with those that it has not. Each wave has one of its own.
type canaryAnalysis struct {
	touched, untouched cohort
}

func newCanaryAnalysis() *canaryAnalysis { return &canaryAnalysis{newCohort(), newCohort()} }

// recordEvidence adds what a router did since its last report to the cohort that it belongs to. A router on its way out
// or back, or one that still runs the process that is to leave, belongs to neither.
func (l *Leader) recordEvidence(now int64, p *Progress, before, after *memberState) {
	tracker := l.trackers[p.Plan.ID]
	if tracker == nil || p.State != StateRunning {
		return
	}
	name := after.report.Member
	incarnation := after.report.Incarnation
	side := &tracker.canary.untouched
	var unit *Unit
	if i := slices.Index(p.Plan.Units, name); i >= 0 {
		unit = &p.Units[i]
	}
	if unit != nil && unit.Phase != PhaseWaiting {
		isBack := unit.Phase == PhaseDone || unit.Phase == PhaseReturning
		if !isBack || unit.RollingBack || incarnation == unit.Incarnation {
			return
		}
		side = &tracker.canary.touched
	}
	if before.reportedAt == 0 {
		return
	}
	sameProcess := before.report.Incarnation == incarnation
	// A plan ends a process while its unit is leaving, when nothing is counted (above). The former report may still be of that
	// process: this leader heard it under an earlier lead, or it came late.
	leftByPlan := unit != nil && unit.Phase == PhaseReturning && before.report.Incarnation == unit.Incarnation
	if sameProcess && after.report.Counts.follows(before.report.Counts) {
		side.counts[name] = side.counts[name].plus(after.report.Counts.minus(before.report.Counts))
		side.observedTime += now - before.reportedAt
	} else if !sameProcess && !leftByPlan {
		side.crashes++
	}
	if after.report.StartupTime > 0 {
		side.startupTimes[name] = after.report.StartupTime
	}
	if after.report.ResidentBytes > 0 {
		side.residentBytes[name] = after.report.ResidentBytes
	}
}

// badEnds are the ways in which a command can end badly, each compared by itself.
var badEnds = []struct {
	name  string // for operators
	count func(CommandCounts) uint64
}{
	{"failed", func(c CommandCounts) uint64 { return c.Failed }},
	{"late", func(c CommandCounts) uint64 { return c.Late }},
	{"throttled", func(c CommandCounts) uint64 { return c.Rejected }},
}

// evaluate returns the evidence for which the plan must halt, "" for none; inDoubt reports whether more
// commands might give it.
func (a *canaryAnalysis) evaluate() (inDoubt bool, evidence string) {
	for _, end := range badEnds {
		suspect, difference := a.compareShares(end.name, end.count)
		if difference != "" {
			return false, difference
		}
		inDoubt = inDoubt || suspect
	}
	for _, compare := range []func() string{a.compareCrashes, a.compareStartupTimes, a.compareMemory} {
		if difference := compare(); difference != "" {
			return false, difference
		}
	}
	return inDoubt, ""
}

// compareShares compares the share of commands that ended in one bad way. The deviation is that of two samples of what all
// routers have in common, widened by how much untouched routers differ among themselves.
func (a *canaryAnalysis) compareShares(name string, count func(CommandCounts) uint64) (suspect bool, evidence string) {
	touched := a.touched.total()
	untouched := a.untouched.total()
	if untouched.Commands == 0 || touched.Commands == 0 || count(touched) < minBadCommands {
		return false, ""
	}
	touchedShare := float64(count(touched)) / float64(touched.Commands)
	usualShare := float64(count(untouched)) / float64(untouched.Commands)
	common := float64(count(touched)+count(untouched)) / float64(touched.Commands+untouched.Commands) // if the plan makes no difference
	common = min(max(common, minUsualShare), 1-minUsualShare)
	widening := a.untouched.overdispersion(count, min(max(usualShare, minUsualShare), 1-minUsualShare))
	deviation := math.Sqrt(widening * common * (1 - common) * (1/float64(touched.Commands) + 1/float64(untouched.Commands)))
	difference := touchedShare - usualShare
	if difference > minShareDifference && difference > haltDeviations*deviation {
		return true, fmt.Sprintf("%.1f%% of %d commands %s at routers that it touched, %.1f%% of %d at the others in the same time",
			100*touchedShare, touched.Commands, name, 100*usualShare, untouched.Commands)
	}
	return difference > minShareDifference/2 && difference > suspectDeviations*deviation, ""
}

// compareCrashes compares processes that ended by themselves, by the time that each side was observed.
func (a *canaryAnalysis) compareCrashes() string {
	share := float64(a.touched.observedTime) / float64(max(a.touched.observedTime+a.untouched.observedTime, 1))
	crashes := a.touched.crashes
	all := crashes + a.untouched.crashes
	if crashes < minCrashes || binomialTail(all, crashes, share) >= maxCrashProbability {
		return ""
	}
	return fmt.Sprintf("%d of %d processes that ended by themselves were of routers that it touched, which make %.0f%% of the time",
		crashes, all, 100*share)
}

func (a *canaryAnalysis) compareStartupTimes() string {
	touched := median(a.touched.startupTimes)
	usual := quantile(a.untouched.startupTimes, upperQuantile)
	if usual == 0 || float64(touched) <= startupTimeFactor*float64(usual)+startupTimeMargin {
		return ""
	}
	return fmt.Sprintf("routers that it touched take %.1f s to start, the others took up to %.1f s", float64(touched)/1e6, float64(usual)/1e6)
}

func (a *canaryAnalysis) compareMemory() string {
	touched := median(a.touched.residentBytes)
	usual := quantile(a.untouched.residentBytes, upperQuantile)
	if usual == 0 || float64(touched) <= memoryFactor*float64(usual)+memoryMargin {
		return ""
	}
	return fmt.Sprintf("routers that it touched take %d MB, the others up to %d MB", touched>>20, usual>>20)
}

// hasEnoughCommands reports whether touched routers have answered enough commands for a conclusion.
func (a *canaryAnalysis) hasEnoughCommands() bool { return a.touched.total().Commands >= minCommands }

// binomialTail returns the probability of at least so many hits in n tries of probability p each.
func binomialTail(n, least int, p float64) (sum float64) {
	probability := math.Pow(1-p, float64(n)) // of exactly k hits
	for k := 0; k <= n; k++ {
		if k >= least {
			sum += probability
		}
		if p < 1 {
			probability *= float64(n-k) / float64(k+1) * p / (1 - p)
			continue
		}
		probability = 0
		if k == n-1 { // all n hit for sure
			probability = 1
		}
	}
	return sum
}

// overdispersion returns the factor by which routers differ more than by chance, since their groups, zones and callers are
// not alike: Pearson's statistic per degree of freedom, at least 1. usualShare lies between 0 and 1, exclusively.
func (c *cohort) overdispersion(count func(CommandCounts) uint64, usualShare float64) float64 {
	sum := 0.0
	routers := 0
	for _, counts := range c.counts {
		if counts.Commands == 0 {
			continue
		}
		expected := float64(counts.Commands) * usualShare
		sum += (float64(count(counts)) - expected) * (float64(count(counts)) - expected) / (expected * (1 - usualShare))
		routers++
	}
	if routers < 2 {
		return 1
	}
	return max(1, sum/float64(routers-1))
}

func median(byRouter map[string]int64) int64 { return quantile(byRouter, 0.5) }

func quantile(byRouter map[string]int64, q float64) int64 {
	if len(byRouter) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(byRouter))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
