package process

import (
	"bufio"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one command of a script with its time, relative to the start of the script.
type Step struct {
	At      time.Duration
	Command string
	Args    []string
}

// Script is a list of steps, ordered by time.
type Script []Step

// String formats a script with one step per line: the time in ms, the command and its arguments.
func (s Script) String() string {
	var b strings.Builder
	for _, step := range s {
		fmt.Fprintf(&b, "%d %s\n", step.At.Milliseconds(), strings.Join(append([]string{step.Command}, step.Args...), " "))
	}
	return b.String()
}

// ParseScript parses the format of Script.String. Empty lines and lines that begin with # are ignored.
func ParseScript(text string) (Script, error) {
	var s Script
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		at, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil || len(fields) < 2 || commands[fields[1]] == "" {
			return nil, fmt.Errorf("line %d: %q is not a step: expected a time in ms, a known command and its arguments", n, lines.Text())
		}
		s = append(s, Step{At: time.Duration(at) * time.Millisecond, Command: fields[1], Args: fields[2:]})
	}
	s.sort()
	return s, nil
}

// sort orders the steps by time. Steps with equal times keep their order.
func (s Script) sort() {
	slices.SortStableFunc(s, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// commands maps each command of a script to its arguments and its effect. N and M are numbers of processes.
var commands = map[string]string{
	"kill": "N: kill the process with SIGKILL", "start": "N: restart the process", "bare": "N: restart the process without its stored state",
	"stop": "N: stop the process with SIGSTOP", "cont": "N: continue the process with SIGCONT", "term": "N: shut the process down with SIGTERM",
	"cut":  "N M: cut the link from N to M, * for all processes; with a third argument both, in both directions",
	"heal": "heal all links", "fate": "LOSS TWICE CORRUPT DELAY_MS LATE: set the faults of all links",
}

// RegisterCommand adds a script command; help describes its arguments and effect. Harness.HandleCommand sets its handler.
func RegisterCommand(name, help string) { commands[name] = help }

// Shrink removes steps from a script as long as the script still fails, from halves down to single steps, and returns the
// remaining script. fails reports whether a script fails; it may play the script several times, because failures of real
// processes are not fully reproducible.
func Shrink(script Script, fails func(Script) bool) Script {
	for chunkSize := max(1, len(script)/2); chunkSize > 0; {
		shrunk := false
		for start := 0; start < len(script); {
			candidate := slices.Concat(script[:start], script[min(len(script), start+chunkSize):])
			if len(candidate) < len(script) && fails(candidate) {
				script = candidate
				shrunk = true
			} else {
				start += chunkSize
			}
		}
		if !shrunk || chunkSize > len(script) {
			chunkSize /= 2
		}
	}
	return script
}
