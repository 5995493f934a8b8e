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
			return nil, fmt.Errorf("line %d: %q, want a time in ms, one of the commands, and its arguments", n, lines.Text())
		}
		s = append(s, Step{At: time.Duration(at) * time.Millisecond, Command: fields[1], Args: fields[2:]})
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
				script = candidate
				shrunk = true
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
