package process

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// ExtraSteps draws further kinds of steps for a random script.
type ExtraSteps func(random *rand.Rand, at time.Duration) []Step

// faultWeights is how many of the equally likely draws of a random script are mixed faults; each ExtraSteps has one more.
const faultWeights = 11

// RandomScript returns a script of mixed faults drawn from a seed: about one each gap, up to an end at which all links are
// healed. Equal arguments give equal scripts: the order of the draws is part of that.
func RandomScript(seed uint64, processes int, gap, end time.Duration, extraSteps ...ExtraSteps) Script {
	d := &scriptDrawing{
		random:    rand.New(rand.NewPCG(seed, 6)),
		end:       end,
		busyUntil: make([]time.Duration, processes),
	}
	for at := time.Duration(0); at < end; {
		at += time.Duration(d.random.Int64N(int64(2 * gap)))
		process := d.random.IntN(processes)
		span := time.Duration(d.random.Int64N(int64(4*gap))) + gap/2
		draw := d.random.IntN(faultWeights + len(extraSteps))
		if draw < faultWeights {
			d.addFault(draw, process, at, span)
			continue
		}
		drawExtra := extraSteps[d.random.IntN(len(extraSteps))]
		d.script = append(d.script, drawExtra(d.random, at)...)
	}
	d.add(end, "heal")
	d.add(end, "fate", "0", "0", "0", "0", "0")
	d.script.sort()
	return d.script
}

// scriptDrawing is a script that is being drawn.
type scriptDrawing struct {
	random    *rand.Rand
	end       time.Duration
	busyUntil []time.Duration // by process: it is killed or stopped until then
	script    Script
}

// add adds a step, at the end at the latest.
func (d *scriptDrawing) add(at time.Duration, command string, args ...any) {
	step := Step{At: min(at, d.end), Command: command}
	for _, arg := range args {
		step.Args = append(step.Args, fmt.Sprint(arg))
	}
	d.script = append(d.script, step)
}

// isFree reports whether a process is neither killed nor stopped at a time, and a fault of a span ends before the script.
func (d *scriptDrawing) isFree(process int, at, span time.Duration) bool {
	return at >= d.busyUntil[process] && at+span < d.end
}

// addFault adds the fault that was drawn, and the step that ends it a span later.
func (d *scriptDrawing) addFault(draw, process int, at, span time.Duration) {
	switch draw {
	case 0, 1:
		if d.isFree(process, at, span) {
			d.addKill(process, at, span)
		}
	case 2, 3:
		if d.isFree(process, at, span) {
			d.busyUntil[process] = at + span
			d.add(at, "stop", process)
			d.add(at+span, "cont", process)
		}
	case 4: // the process hears everybody and is heard by nobody
		d.addCut(at, span, process, "*")
	case 5: // the other way round
		d.addCut(at, span, "*", process)
	case 6:
		d.addCut(at, span, process, "*", "both")
	case 7:
		d.addCut(at, span, process, d.random.IntN(len(d.busyUntil)))
	case 8, 9:
		d.addLinkFaults(at, span)
	case 10:
		other := d.random.IntN(len(d.busyUntil))
		if other != process && d.isFree(process, at, span) && d.isFree(other, at, span) {
			d.addTwoKills(process, other, at, span)
		}
	}
}

// addKill kills a process and starts it again, in one of three cases without its state.
func (d *scriptDrawing) addKill(process int, at, span time.Duration) {
	d.busyUntil[process] = at + span
	d.add(at, "kill", process)
	start := []string{"start", "start", "bare"}[d.random.IntN(3)]
	d.add(at+span, start, process)
}

// addTwoKills kills two processes at once and starts them again together.
func (d *scriptDrawing) addTwoKills(one, other int, at, span time.Duration) {
	d.busyUntil[one] = at + span
	d.busyUntil[other] = at + span
	d.add(at, "kill", one)
	d.add(at, "kill", other)
	d.add(at+span, "start", one)
	d.add(at+span, "start", other)
}

// addCut cuts links and heals all of them later.
func (d *scriptDrawing) addCut(at, span time.Duration, args ...any) {
	d.add(at, "cut", args...)
	d.add(at+span, "heal")
}

// addLinkFaults makes all links bad, and later nearly good.
func (d *scriptDrawing) addLinkFaults(at, span time.Duration) {
	loss := fmt.Sprintf("%.2f", d.random.Float64()*0.4)
	duplication := fmt.Sprintf("%.2f", d.random.Float64()*0.4)
	corruption := fmt.Sprintf("%.3f", d.random.Float64()*0.02)
	delayMilliseconds := d.random.IntN(100)
	lateShare := fmt.Sprintf("%.2f", d.random.Float64()*0.5)
	d.add(at, "fate", loss, duplication, corruption, delayMilliseconds, lateShare)
	d.add(at+span, "fate", "0.01", "0.02", "0", "2", "0.1")
}
