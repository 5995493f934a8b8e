package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// The canary analysis: routers that a plan has updated (the canary cohort) are compared with those that it has not (the
// baseline) over the same time. A fixed limit would halt a good version while all routers do badly, and miss a bad one
// while all others do well.

const (
	// minCommands is the number of commands of the canary cohort that a conclusion needs: a version that fails 2% of
	// them must be detected, and this many commands give twenty-four failures.
	minCommands = 1_200

	// minBadCommands is the smallest number of bad commands of the canary cohort that counts as evidence: fewer may be
	// one client's mistakes.
	minBadCommands = 5

	// minShareDifference is how much the share of bad commands must exceed that of the baseline for a halt: less than
	// half of the 2% that must be detected. Half of it makes a wave suspect (compareShares).
	minShareDifference = 0.008

	// suspectDeviations is the number of standard deviations at which a wave is watched for longer before the next one
	// begins.
	suspectDeviations = 2.0

	// haltDeviations is the number of standard deviations at which a plan halts. The comparison is made at each tick,
	// on counts that change each second, for hours: at three deviations good versions would halt by chance.
	haltDeviations = 5.0

	// minBaselineShare is the smallest share of bad commands that is assumed for the baseline: a fleet without a
	// failure so far must not halt at the first ones.
	minBaselineShare = 5e-4

	// minCrashes is the smallest number of crashed processes of the canary cohort for a halt: a single one may be its
	// machine's fault.
	minCrashes = 2

	// maxCrashProbability is the significance level for crashes: a plan halts if at least as many of all crashes would
	// fall on the canary cohort by chance with a lower probability. A plain count would not do: when nearly all routers
	// are updated, nearly all crashes fall on them.
	maxCrashProbability = 1e-3

	// upperQuantile is the quantile of the baseline's startup times and memory with which the canary cohort is
	// compared: some routers are always slower or larger than most.
	upperQuantile = 0.9

	startupTimeFactor = 3.0      // times that quantile
	startupTimeMargin = 2e6      // us added to it: a second or two is no evidence
	memoryFactor      = 1.5      // times that quantile
	memoryMargin      = 16 << 20 // bytes added to it: caches fill differently
)

// CommandCounts holds a router's command counts since its process started; they only grow.
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
	crashes       int                      // processes that ended without a plan
	observedTime  int64                    // us that its routers were observed, in total
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

// canaryAnalysis compares routers that a plan has updated with those that it has not. Each wave has its own.
type canaryAnalysis struct {
	canary, baseline cohort
}

func newCanaryAnalysis() *canaryAnalysis { return &canaryAnalysis{newCohort(), newCohort()} }

// recordEvidence adds what a router did since its last report to its cohort. A router that is leaving or being rolled
// back, or one that still runs the process that is to leave, belongs to neither cohort.
func (l *Leader) recordEvidence(now int64, p *Progress, before, after *memberState) {
	tracker := l.trackers[p.Plan.ID]
	if tracker == nil || p.State != StateRunning {
		return
	}
	name := after.report.Member
	incarnation := after.report.Incarnation
	target := &tracker.analysis.baseline
	var unit *Unit
	if i := slices.Index(p.Plan.Units, name); i >= 0 {
		unit = &p.Units[i]
	}
	if unit != nil && unit.Phase != PhaseWaiting {
		isBack := unit.Phase == PhaseDone || unit.Phase == PhaseReturning
		if !isBack || unit.RollingBack || incarnation == unit.Incarnation {
			return
		}
		target = &tracker.analysis.canary
	}
	if before.reportedAt == 0 {
		return
	}
	sameProcess := before.report.Incarnation == incarnation
	// A plan ends a process while its unit is leaving, when nothing is counted (above). The previous report may still
	// be of that process: this leader received it in an earlier term of leadership, or it was delayed.
	leftByPlan := unit != nil && unit.Phase == PhaseReturning && before.report.Incarnation == unit.Incarnation
	if sameProcess && after.report.Counts.follows(before.report.Counts) {
		target.counts[name] = target.counts[name].plus(after.report.Counts.minus(before.report.Counts))
		target.observedTime += now - before.reportedAt
	} else if !sameProcess && !leftByPlan {
		target.crashes++
	}
	if after.report.StartupTime > 0 {
		target.startupTimes[name] = after.report.StartupTime
	}
	if after.report.ResidentBytes > 0 {
		target.residentBytes[name] = after.report.ResidentBytes
	}
}

// badOutcomes are the ways in which a command can end badly, each compared by itself.
var badOutcomes = []struct {
	name  string // for operators
	count func(CommandCounts) uint64
}{
	{"failed", func(c CommandCounts) uint64 { return c.Failed }},
	{"late", func(c CommandCounts) uint64 { return c.Late }},
	{"throttled", func(c CommandCounts) uint64 { return c.Rejected }},
}

// evaluate returns the evidence for which the plan must halt, "" for none. inconclusive reports whether more commands
// might provide it.
func (a *canaryAnalysis) evaluate() (inconclusive bool, evidence string) {
	for _, outcome := range badOutcomes {
		suspect, difference := a.compareShares(outcome.name, outcome.count)
		if difference != "" {
			return false, difference
		}
		inconclusive = inconclusive || suspect
	}
	for _, compare := range []func() string{a.compareCrashes, a.compareStartupTimes, a.compareMemory} {
		if difference := compare(); difference != "" {
			return false, difference
		}
	}
	return inconclusive, ""
}

// compareShares compares the share of commands with one bad outcome. The standard deviation is that of two samples of
// the share common to all routers, widened by how much the baseline's routers differ among themselves.
func (a *canaryAnalysis) compareShares(name string, count func(CommandCounts) uint64) (suspect bool, evidence string) {
	canary := a.canary.total()
	baseline := a.baseline.total()
	if baseline.Commands == 0 || canary.Commands == 0 || count(canary) < minBadCommands {
		return false, ""
	}
	canaryShare := float64(count(canary)) / float64(canary.Commands)
	baselineShare := float64(count(baseline)) / float64(baseline.Commands)
	pooledShare := float64(count(canary)+count(baseline)) / float64(canary.Commands+baseline.Commands) // if the plan makes no difference
	pooledShare = min(max(pooledShare, minBaselineShare), 1-minBaselineShare)
	dispersion := a.baseline.overdispersion(count, min(max(baselineShare, minBaselineShare), 1-minBaselineShare))
	deviation := math.Sqrt(dispersion * pooledShare * (1 - pooledShare) * (1/float64(canary.Commands) + 1/float64(baseline.Commands)))
	difference := canaryShare - baselineShare
	if difference > minShareDifference && difference > haltDeviations*deviation {
		return true, fmt.Sprintf("%.1f%% of %d commands %s at routers that it touched, %.1f%% of %d at the others in the same time",
			100*canaryShare, canary.Commands, name, 100*baselineShare, baseline.Commands)
	}
	return difference > minShareDifference/2 && difference > suspectDeviations*deviation, ""
}

// compareCrashes compares the numbers of crashes in proportion to the time for which each cohort was observed.
func (a *canaryAnalysis) compareCrashes() string {
	share := float64(a.canary.observedTime) / float64(max(a.canary.observedTime+a.baseline.observedTime, 1))
	crashes := a.canary.crashes
	all := crashes + a.baseline.crashes
	if crashes < minCrashes || binomialTail(all, crashes, share) >= maxCrashProbability {
		return ""
	}
	return fmt.Sprintf("%d of %d processes that ended by themselves were of routers that it touched, which make %.0f%% of the time",
		crashes, all, 100*share)
}

func (a *canaryAnalysis) compareStartupTimes() string {
	canary := median(a.canary.startupTimes)
	baseline := quantile(a.baseline.startupTimes, upperQuantile)
	if baseline == 0 || float64(canary) <= startupTimeFactor*float64(baseline)+startupTimeMargin {
		return ""
	}
	return fmt.Sprintf("routers that it touched take %.1f s to start, the others took up to %.1f s", float64(canary)/1e6, float64(baseline)/1e6)
}

func (a *canaryAnalysis) compareMemory() string {
	canary := median(a.canary.residentBytes)
	baseline := quantile(a.baseline.residentBytes, upperQuantile)
	if baseline == 0 || float64(canary) <= memoryFactor*float64(baseline)+memoryMargin {
		return ""
	}
	return fmt.Sprintf("routers that it touched take %d MB, the others up to %d MB", canary>>20, baseline>>20)
}

// hasEnoughCommands reports whether the canary cohort has answered enough commands for a conclusion.
func (a *canaryAnalysis) hasEnoughCommands() bool { return a.canary.total().Commands >= minCommands }

// binomialTail returns the probability of at least the given number of successes in n trials of probability p each.
func binomialTail(n, minSuccesses int, p float64) (sum float64) {
	probability := math.Pow(1-p, float64(n)) // of exactly k successes
	for k := 0; k <= n; k++ {
		if k >= minSuccesses {
			sum += probability
		}
		if p < 1 {
			probability *= float64(n-k) / float64(k+1) * p / (1 - p)
			continue
		}
		probability = 0
		if k == n-1 { // all n succeed with certainty
			probability = 1
		}
	}
	return sum
}

// overdispersion returns the factor by which routers differ more than by chance, since their groups, zones and callers
// are not alike: Pearson's statistic per degree of freedom, at least 1. baselineShare lies between 0 and 1,
// exclusively.
func (c *cohort) overdispersion(count func(CommandCounts) uint64, baselineShare float64) float64 {
	sum := 0.0
	routers := 0
	for _, counts := range c.counts {
		if counts.Commands == 0 {
			continue
		}
		expected := float64(counts.Commands) * baselineShare
		sum += (float64(count(counts)) - expected) * (float64(count(counts)) - expected) / (expected * (1 - baselineShare))
		routers++
	}
	if routers < 2 {
		return 1
	}
	return max(1, sum/float64(routers-1))
}

func median(byRouter map[string]int64) int64 { return quantile(byRouter, 0.5) }

func quantile(byRouter map[string]int64, fraction float64) int64 {
	if len(byRouter) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(byRouter))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
