package process

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one command of a script and when it is executed.
type Step struct {
	At      time.Duration
	Command string
	Args    []string
}

// Script is the steps to play, in the order of their times.
type Script []Step

// String prints a script, one step a line: the time in ms, the command, its arguments.
func (s Script) String() string {
	var b strings.Builder
	for _, one := range s {
		fmt.Fprintf(&b, "%d %s\n", one.At.Milliseconds(), strings.Join(append([]string{one.Command}, one.Args...), " "))
	}
	return b.String()
}

// ParseScript reads what Script.String prints. Empty lines and lines that begin with # are ignored.
func ParseScript(text string) (s Script, err error) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		at, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil || len(f) < 2 || commands[f[1]] == "" {
			return nil, fmt.Errorf("line %d: %q, want a time in ms, one of the verbs, and its arguments", n, lines.Text())
		}
		s = append(s, Step{time.Duration(at) * time.Millisecond, f[1], f[2:]})
	}
	s.sort()
	return s, nil
}

func (s Script) sort() {
	slices.SortStableFunc(s, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// commands are what a step may do, each with its arguments. Processes are given by number.
var commands = map[string]string{
	"kill": "N: end it at once", "start": "N: start it again", "bare": "N: the same, without what it kept",
	"stop": "N: hold it still", "cont": "N: let it go on", "term": "N: end it in order",
	"cut":  "N M: what goes from N to M, * for all; both ways with a third word both",
	"heal": "mend all links", "fate": "LOSS TWICE CORRUPT DELAY_MS LATE: of all links",
}

// RegisterCommand adds a command, with a line on its arguments. Harness.HandleCommand says who executes it.
func RegisterCommand(name, help string) { commands[name] = help }

// Shrink removes steps from a script as long as it still fails, halves first and single steps last, and returns what is left.
// fails plays a script; because processes in real time don't always fail alike, it may play it more than once.
func Shrink(script Script, fails func(Script) bool) Script {
	for size := max(1, len(script)/2); size > 0; {
		shrunk := false
		for from := 0; from < len(script); {
			candidate := slices.Concat(script[:from], script[min(len(script), from+size):])
			if len(candidate) < len(script) && fails(candidate) {
				script, shrunk = candidate, true
			} else {
				from += size
			}
		}
		if !shrunk || size > len(script) {
			size /= 2
		}
	}
	return script
}

// RandomScript returns a script of mixed faults drawn from a seed: about one each gap, up to an end at which all links are
// healed. extraSteps draw further kinds of steps.
func RandomScript(seed uint64, processes int, gap, end time.Duration, extraSteps ...func(random *rand.Rand, at time.Duration) []Step) (s Script) {
	random := rand.New(rand.NewPCG(seed, 6))
	add := func(at time.Duration, do string, args ...any) {
		one := Step{At: min(at, end), Command: do}
		for _, a := range args {
			one.Args = append(one.Args, fmt.Sprint(a))
		}
		s = append(s, one)
	}
	busyUntil := make([]time.Duration, processes) // a process is killed or stopped until then
	for at := time.Duration(0); at < end; {
		at += time.Duration(random.Int64N(int64(2 * gap)))
		n, span := random.IntN(processes), time.Duration(random.Int64N(int64(4*gap)))+gap/2
		free := at >= busyUntil[n] && at+span < end
		switch random.IntN(11 + len(extraSteps)) {
		case 0, 1:
			if free {
				busyUntil[n] = at + span
				add(at, "kill", n)
				add(at+span, []string{"start", "start", "bare"}[random.IntN(3)], n)
			}
		case 2, 3:
			if free {
				busyUntil[n] = at + span
				add(at, "stop", n)
				add(at+span, "cont", n)
			}
		case 4: // the process hears everybody and is heard by nobody; then the other way round
			add(at, "cut", n, "*")
			add(at+span, "heal")
		case 5:
			add(at, "cut", "*", n)
			add(at+span, "heal")
		case 6:
			add(at, "cut", n, "*", "both")
			add(at+span, "heal")
		case 7:
			add(at, "cut", n, random.IntN(processes))
			add(at+span, "heal")
		case 8, 9:
			add(at, "fate", fmt.Sprintf("%.2f", random.Float64()*0.4), fmt.Sprintf("%.2f", random.Float64()*0.4),
				fmt.Sprintf("%.3f", random.Float64()*0.02), random.IntN(100), fmt.Sprintf("%.2f", random.Float64()*0.5))
			add(at+span, "fate", "0.01", "0.02", "0", "2", "0.1")
		case 10:
			if k := random.IntN(processes); free && at >= busyUntil[k] && k != n { // two at once
				busyUntil[n], busyUntil[k] = at+span, at+span
				add(at, "kill", n)
				add(at, "kill", k)
				add(at+span, "start", n)
				add(at+span, "start", k)
			}
		default:
			k := random.IntN(len(extraSteps))
			s = append(s, extraSteps[k](random, at)...)
		}
	}
	add(end, "heal")
	add(end, "fate", "0", "0", "0", "0", "0")
	s.sort()
	return s
}
