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

// commandLine is the command line: one sub-command a proof.
type commandLine struct {
	Duties             dutiesCommand            `cmd:"" help:"Three routers share health checks; one is killed, one stopped, one cut off."`
	DutiesSimulation   dutiesSimulationCommand  `cmd:"" help:"Shared health checks among many instances, in simulated time."`
	Statements         statementsCommand        `cmd:"" help:"A corpus of statements whose classes are known, and a morning's mix."`
	Leases             leasesCommand            `cmd:"" help:"Router processes hold leases under mixed faults; commands and operations must never overlap."`
	LeasesSimulation   leaseSimulationCommand   `cmd:"" help:"The deciding module of leases in simulated time, under mixed faults and with planted mistakes."`
	Releases           releasesCommand          `cmd:"" help:"Router processes and nodes go through plans under load; never too many are out."`
	ReleasesSimulation rolloutSimulationCommand `cmd:"" help:"The deciding module of releases in simulated time, under mixed faults and with planted mistakes."`
	Child              childCommand             `cmd:"" hidden:""`
	proof.HiddenCommands
}

// printClosingLine prints a proof's closing line, where it got as far as one, and passes its error on.
func printClosingLine(end string, err error) error {
	if end != "" {
		fmt.Println(end)
	}
	return err
}

// logWriter is where the routers' log goes.
func logWriter(on bool) io.Writer {
	if on {
		return os.Stderr
	}
	return io.Discard
}

// dutiesCommand plays shared health checks with processes.
type dutiesCommand struct {
	Seed  uint64 `default:"1" help:"For the order of faults."`
	Size  int    `default:"10" help:"Nodes."`
	Short bool   `help:"The short form."`
	Log   bool   `help:"Print what the routers log."`
}

// Run runs it.
func (c *dutiesCommand) Run() error {
	return printClosingLine(proof.AssignmentProof{Seed: c.Seed, Nodes: c.Size, Short: c.Short, Interval: time.Second, Log: logWriter(c.Log), Output: os.Stdout}.Run())
}

// dutiesSimulationCommand plays shared health checks in simulated time.
type dutiesSimulationCommand struct {
	Seed  uint64 `default:"1" help:"For delays, phases and churn."`
	Sizes string `default:"3x10,3x1000,30x1000,300x1000,1000x1000" help:"Instances x boxes, each."`
}

// Run runs it.
func (c *dutiesSimulationCommand) Run() error {
	sizes, err := parseSizes(c.Sizes)
	if err != nil {
		return err
	}
	return printClosingLine(proof.AssignmentSimulation{Seed: c.Seed, Sizes: sizes, Output: os.Stdout}.Run())
}

// statementsCommand plays the classes of statements.
type statementsCommand struct {
	Seed uint64 `default:"1" help:"For the corpus and the mix."`
	Size int    `default:"20000" help:"Statements of the corpus."`
}

// Run runs it.
func (c *statementsCommand) Run() error {
	return printClosingLine(proof.StatementProof{Seed: c.Seed, Size: c.Size, ReplaySize: 200_000, Output: os.Stdout}.Run())
}

// leasesCommand plays leases with processes.
type leasesCommand struct {
	Seed    uint64        `default:"1" help:"For faults, clocks and their order."`
	Voters  int           `default:"3" help:"Voters."`
	Others  int           `default:"2" help:"Processes that do not vote."`
	Span    time.Duration `default:"40s" help:"Of mixed faults."`
	Lasting bool          `help:"Voters have a lasting place."`
	Script  string        `type:"existingfile" help:"A script of faults to play instead."`
	Print   bool          `help:"Print the script and play nothing."`
	Log     bool          `help:"Print what the routers log."`
}

// Run runs it.
func (c *leasesCommand) Run() error {
	leases := proof.LeaseProof{Seed: c.Seed, Voters: c.Voters, Others: c.Others, Span: c.Span, Lasting: c.Lasting, Measurements: 6, Log: logWriter(c.Log), Output: os.Stdout}
	if c.Script != "" {
		raw, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		if leases.Script, err = process.ParseScript(string(raw)); err != nil {
			return err
		}
	}
	if c.Print {
		fmt.Print(leases.RandomScript())
		return nil
	}
	return printClosingLine(leases.Run())
}

// leaseSimulationCommand plays the deciding package of leases in simulated time.
type leaseSimulationCommand struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"100000" help:"Runs of mixed faults."`
	Plant int    `default:"20000" help:"Seeds tried at most for each planted mistake, 0 for none."`
	Sizes string `default:"3x1,3x1000,30x1000,300x1000,1000x1000,1000x10000" help:"Instances x leases, each; empty for none."`
}

// Run runs it.
func (c *leaseSimulationCommand) Run() error {
	sizes, err := parseSizes(c.Sizes)
	if err != nil {
		return err
	}
	return printClosingLine(proof.LeaseSimulation{From: c.From, Seeds: c.Seeds, RepeatEvery: 100, MistakeSeeds: c.Plant, Sizes: sizes, Output: os.Stdout}.Run())
}

// releasesCommand plays rollouts with processes.
type releasesCommand struct {
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

// Run runs it.
func (c *releasesCommand) Run() error {
	p := proof.RolloutProof{Seed: c.Seed, Routers: c.Routers, Voters: c.Voters, Groups: c.Groups, Nodes: c.Nodes, Faults: c.Faults, Alone: c.Alone, Lose: c.Lose, Log: logWriter(c.Log), Output: os.Stdout}
	return printClosingLine(p.Run())
}

// rolloutSimulationCommand plays the deciding package of rollouts in simulated time.
type rolloutSimulationCommand struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"50000" help:"Runs of mixed faults."`
	Plant int    `default:"3000" help:"Seeds tried at most for each planted mistake, 0 for none."`
	Halts int    `default:"1000" help:"Pairs of a good version and of one that fails 2% more."`
	Sizes []int  `default:"10,30,100,300,1000" help:"Routers of plans without faults."`
	Trace bool   `help:"Play the first seed alone and print what happens."`
}

// Run runs it.
func (c *rolloutSimulationCommand) Run() error {
	if c.Trace {
		return proof.TraceRolloutSimulation(c.From, os.Stdout)
	}
	return printClosingLine(proof.RolloutSimulation{From: c.From, Seeds: c.Seeds, RepeatEvery: 100, MistakeSeeds: c.Plant, VersionPairs: c.Halts, Sizes: c.Sizes, Output: os.Stdout}.Run())
}

// parseSizes reads a list such as 3x10,30x1000.
func parseSizes(text string) (all [][2]int, err error) {
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

// childCommand is a router process of a proof.
type childCommand struct {
	File string
}

// Run runs it.
func (c *childCommand) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	return proof.RunSharingRouter(c.File)
}

func main() {
	var commands commandLine
	ctx := kong.Parse(&commands, kong.Name("proof"), kong.Description("Proofs of the project's subsystems."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		var code supervisor.ExitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
