// Command proof runs the proofs of the project's subsystems, on loopback with real processes and in simulated time. Each ends
// with one line and exits 0 only where every limit holds. The Makefile has the usual calls.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/proof"
)

type line struct {
	Duties     dutiesLine     `cmd:"" help:"Three routers share health checks; one is killed, one stopped, one cut off."`
	Sizes      sizesLine      `cmd:"" help:"Shared health checks among many instances, in simulated time."`
	Statements statementsLine `cmd:"" help:"A corpus of statements whose classes are known, and a morning's mix."`
	Leases     leasesLine     `cmd:"" help:"Router processes hold leases under mixed faults; commands and operations must never overlap."`
	Council    councilLine    `cmd:"" help:"The deciding module of leases in simulated time, under mixed faults and with planted mistakes."`
	Releases   releasesLine   `cmd:"" help:"Router processes and nodes go through plans under load; never too many are out."`
	Rollout    rolloutLine    `cmd:"" help:"The deciding module of releases in simulated time, under mixed faults and with planted mistakes."`
	Child      childLine      `cmd:"" hidden:""`
	proof.Hidden
}

// printClosingLine prints a proof's closing line, where it got as far as one, and passes its error on.
func closing(end string, err error) error {
	if end != "" {
		fmt.Println(end)
	}
	return err
}

// logWriter is where the routers' log goes.
func logs(on bool) io.Writer {
	if on {
		return os.Stderr
	}
	return io.Discard
}

type dutiesLine struct {
	Seed  uint64 `default:"1" help:"For the order of faults."`
	Size  int    `default:"10" help:"Nodes."`
	Short bool   `help:"The short form."`
	Log   bool   `help:"Print what the routers log."`
}

func (l *dutiesLine) Run() error {
	return closing(proof.Duties{Seed: l.Seed, Boxes: l.Size, Short: l.Short, Every: time.Second, Log: logs(l.Log), Writes: os.Stdout}.Run())
}

type sizesLine struct {
	Seed  uint64 `default:"1" help:"For delays, phases and churn."`
	Sizes string `default:"3x10,3x1000,30x1000,300x1000,1000x1000" help:"Instances x boxes, each."`
}

func (l *sizesLine) Run() error {
	sizes, err := sizesOf(l.Sizes)
	if err != nil {
		return err
	}
	return closing(proof.Sizes{Seed: l.Seed, Sizes: sizes, Writes: os.Stdout}.Run())
}

type statementsLine struct {
	Seed uint64 `default:"1" help:"For the corpus and the mix."`
	Size int    `default:"20000" help:"Statements of the corpus."`
}

func (l *statementsLine) Run() error {
	return closing(proof.Statements{Seed: l.Seed, Size: l.Size, Morning: 200_000, Writes: os.Stdout}.Run())
}

type leasesLine struct {
	Seed    uint64        `default:"1" help:"For faults, clocks and their order."`
	Voters  int           `default:"3" help:"Voters."`
	Others  int           `default:"2" help:"Processes that do not vote."`
	Span    time.Duration `default:"40s" help:"Of mixed faults."`
	Lasting bool          `help:"Voters have a lasting place."`
	Script  string        `type:"existingfile" help:"A script of faults to play instead."`
	Print   bool          `help:"Print the script and play nothing."`
	Log     bool          `help:"Print what the routers log."`
}

func (l *leasesLine) Run() error {
	p := proof.Leases{Seed: l.Seed, Voters: l.Voters, Others: l.Others, Span: l.Span, Lasting: l.Lasting, Times: 6, Log: logs(l.Log), Writes: os.Stdout}
	if l.Script != "" {
		raw, err := os.ReadFile(l.Script)
		if err != nil {
			return err
		}
		if p.Script, err = process.ParseScript(string(raw)); err != nil {
			return err
		}
	}
	if l.Print {
		fmt.Print(p.Draw())
		return nil
	}
	return closing(p.Run())
}

type councilLine struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"100000" help:"Runs of mixed faults."`
	Plant int    `default:"20000" help:"Seeds tried at most for each planted mistake, 0 for none."`
	Sizes string `default:"3x1,3x1000,30x1000,300x1000,1000x1000,1000x10000" help:"Instances x leases, each; empty for none."`
}

func (l *councilLine) Run() error {
	sizes, err := sizesOf(l.Sizes)
	if err != nil {
		return err
	}
	return closing(proof.LeaseSimulation{From: l.From, Seeds: l.Seeds, RepeatEvery: 100, MistakeSeeds: l.Plant, Sizes: sizes, Writes: os.Stdout}.Run())
}

type releasesLine struct {
	Seed    uint64 `default:"1" help:"For faults and their order."`
	Routers int    `default:"12" help:"Router processes."`
	Voters  int    `default:"3" help:"Voters among them."`
	Groups  int    `default:"8" help:"Groups of three nodes, one in each zone."`
	Nodes   int    `default:"8" help:"Nodes that are drained and returned."`
	Faults  bool   `help:"Kill, stop and cut off routers meanwhile."`
	Lose    bool   `help:"Kill whoever leads, twice."`
	Alone   bool   `help:"The baseline: each router is restarted by itself, at a time of its own."`
	Log     bool   `help:"Print what the routers log."`
}

func (l *releasesLine) Run() error {
	p := proof.Releases{Seed: l.Seed, Routers: l.Routers, Voters: l.Voters, Groups: l.Groups, Nodes: l.Nodes, Faults: l.Faults, Alone: l.Alone, Lose: l.Lose, Log: logs(l.Log), Writes: os.Stdout}
	return closing(p.Run())
}

type rolloutLine struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"50000" help:"Runs of mixed faults."`
	Plant int    `default:"3000" help:"Seeds tried at most for each planted mistake, 0 for none."`
	Halts int    `default:"1000" help:"Pairs of a good version and of one that fails 2% more."`
	Sizes []int  `default:"10,30,100,300,1000" help:"Routers of plans without faults."`
	Trace bool   `help:"Play the first seed alone and print what happens."`
}

func (l *rolloutLine) Run() error {
	if l.Trace {
		return proof.TraceRollout(l.From, os.Stdout)
	}
	return closing(proof.Rollout{From: l.From, Seeds: l.Seeds, Twice: 100, Plant: l.Plant, Halts: l.Halts, Sizes: l.Sizes, Writes: os.Stdout}.Run())
}

// parseSizes reads a list such as 3x10,30x1000.
func sizesOf(text string) (all [][2]int, err error) {
	if text == "" {
		return nil, nil
	}
	for one := range strings.SplitSeq(text, ",") {
		var size [2]int
		if _, err := fmt.Sscanf(one, "%dx%d", &size[0], &size[1]); err != nil || size[0] < 2 || size[1] < 1 {
			return nil, fmt.Errorf("%q: want two numbers such as 30x1000", one)
		}
		all = append(all, size)
	}
	return all, nil
}

type childLine struct {
	File string
}

func (l *childLine) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	return proof.Child(l.File)
}

func main() {
	var l line
	ctx := kong.Parse(&l, kong.Name("proof"), kong.Description("Proofs of the project's subsystems."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		var code supervisor.ExitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
