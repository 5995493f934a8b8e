package process

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// ExtraSteps generates steps of an additional kind at a time of a random script.
type ExtraSteps func(random *rand.Rand, at time.Duration) []Step

// faultWeight is the number of equally likely cases of addFault. Each ExtraSteps adds one more case.
const faultWeight = 11

// RandomScript generates a script of mixed faults from a seed: on average one per gap, up to end, when all links are healed and
// their faults reset. The same arguments give the same script, so the order of the calls to the random generator must not change.
func RandomScript(seed uint64, processes int, gap, end time.Duration, extraSteps ...ExtraSteps) Script {
	g := &scriptGenerator{
		random:    rand.New(rand.NewPCG(seed, 6)),
		end:       end,
		busyUntil: make([]time.Duration, processes),
	}
	for at := time.Duration(0); at < end; {
		at += time.Duration(g.random.Int64N(int64(2 * gap)))
		process := g.random.IntN(processes)
		span := time.Duration(g.random.Int64N(int64(4*gap))) + gap/2
		kind := g.random.IntN(faultWeight + len(extraSteps))
		if kind < faultWeight {
			g.addFault(kind, process, at, span)
			continue
		}
		generate := extraSteps[g.random.IntN(len(extraSteps))]
		g.script = append(g.script, generate(g.random, at)...)
	}
	g.add(end, "heal")
	g.add(end, "fate", "0", "0", "0", "0", "0")
	g.script.sort()
	return g.script
}

// scriptGenerator holds the state of the generation of a random script.
type scriptGenerator struct {
	random    *rand.Rand
	end       time.Duration
	busyUntil []time.Duration // for each process, when its latest kill or stop is over
	script    Script
}

// add appends a step. A time after the end of the script is replaced by the end.
func (g *scriptGenerator) add(at time.Duration, command string, args ...any) {
	step := Step{At: min(at, g.end), Command: command}
	for _, arg := range args {
		step.Args = append(step.Args, fmt.Sprint(arg))
	}
	g.script = append(g.script, step)
}

// isFree reports whether a process is neither killed nor stopped at a time, and a fault that lasts for span is over before the
// end of the script.
func (g *scriptGenerator) isFree(process int, at, span time.Duration) bool {
	return at >= g.busyUntil[process] && at+span < g.end
}

// addFault adds a fault of the given kind, 0 to faultWeight-1, and the step that ends it after span.
func (g *scriptGenerator) addFault(kind, process int, at, span time.Duration) {
	switch kind {
	case 0, 1:
		if g.isFree(process, at, span) {
			g.addKill(process, at, span)
		}
	case 2, 3:
		if g.isFree(process, at, span) {
			g.busyUntil[process] = at + span
			g.add(at, "stop", process)
			g.add(at+span, "cont", process)
		}
	case 4: // the process receives from all others, but none receives from it
		g.addCut(at, span, process, "*")
	case 5: // the opposite direction
		g.addCut(at, span, "*", process)
	case 6:
		g.addCut(at, span, process, "*", "both")
	case 7:
		g.addCut(at, span, process, g.random.IntN(len(g.busyUntil)))
	case 8, 9:
		g.addLinkFaults(at, span)
	case 10:
		other := g.random.IntN(len(g.busyUntil))
		if other != process && g.isFree(process, at, span) && g.isFree(other, at, span) {
			g.addTwoKills(process, other, at, span)
		}
	}
}

// addKill kills a process and restarts it, with a probability of 1/3 without its stored state.
func (g *scriptGenerator) addKill(process int, at, span time.Duration) {
	g.busyUntil[process] = at + span
	g.add(at, "kill", process)
	start := []string{"start", "start", "bare"}[g.random.IntN(3)]
	g.add(at+span, start, process)
}

// addTwoKills kills two processes at the same time and restarts both at the same time.
func (g *scriptGenerator) addTwoKills(first, second int, at, span time.Duration) {
	g.busyUntil[first] = at + span
	g.busyUntil[second] = at + span
	g.add(at, "kill", first)
	g.add(at, "kill", second)
	g.add(at+span, "start", first)
	g.add(at+span, "start", second)
}

// addCut cuts links and heals all links after span.
func (g *scriptGenerator) addCut(at, span time.Duration, args ...any) {
	g.add(at, "cut", args...)
	g.add(at+span, "heal")
}

// addLinkFaults sets severe faults on all links, and slight ones after span.
func (g *scriptGenerator) addLinkFaults(at, span time.Duration) {
	loss := fmt.Sprintf("%.2f", g.random.Float64()*0.4)
	duplication := fmt.Sprintf("%.2f", g.random.Float64()*0.4)
	corruption := fmt.Sprintf("%.3f", g.random.Float64()*0.02)
	delayMilliseconds := g.random.IntN(100)
	lateShare := fmt.Sprintf("%.2f", g.random.Float64()*0.5)
	g.add(at, "fate", loss, duplication, corruption, delayMilliseconds, lateShare)
	g.add(at+span, "fate", "0.01", "0.02", "0", "2", "0.1")
}
