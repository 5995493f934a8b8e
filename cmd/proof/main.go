// Command proof runs system tests, called proofs, of the project's subsystems: with real processes on loopback and in
// simulated time. Each proof ends with one line of results, and exits 0 only if every limit holds. The Makefile has targets
// that run them.
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
	"cairntiller/internal/testcluster/failovers"
	"cairntiller/internal/testcluster/noisyclients"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/proof"
	"cairntiller/internal/testcluster/soak"
)

// commandLine has one sub-command per proof, and the hidden ones that a proof starts as its processes.
type commandLine struct {
	Duties             dutiesCommand            `cmd:"" help:"Three router processes share health checks; one is killed, one is paused, one loses its network."`
	DutiesSimulation   dutiesSimulationCommand  `cmd:"" help:"Health checks shared by many instances, in simulated time."`
	Statements         statementsCommand        `cmd:"" help:"Classify a corpus of statements with known classes, and replay a skewed mix of statement shapes."`
	Leases             leasesCommand            `cmd:"" help:"Router processes hold leases under mixed faults; the commands and operations of two holders must never overlap."`
	LeasesSimulation   leaseSimulationCommand   `cmd:"" help:"The decision module of leases in simulated time, under mixed faults and with injected bugs."`
	Releases           releasesCommand          `cmd:"" help:"Rollout plans of router processes and nodes under load; no more may be out at once than the budget allows."`
	ReleasesSimulation rolloutSimulationCommand `cmd:"" help:"The decision module of rollouts in simulated time, under mixed faults and with injected bugs."`
	NoisyClients       noisyClientsCommand      `cmd:"" help:"Clients that misuse a router, beside ordinary ones, signals and a planned restart; from seeds."`
	Failovers          failoversCommand         `cmd:"" help:"Sessions read their own writes through a router while primaries hand over and the network fails; from seeds."`
	Child              childCommand             `cmd:"" hidden:""`
	proof.HiddenCommands
}

// printResult prints a proof's result line unless it is empty, and returns err unchanged.
func printResult(result string, err error) error {
	if result != "" {
		fmt.Println(result)
	}
	return err
}

// logWriter returns standard error for the routers' log if on is set; otherwise the log is discarded.
func logWriter(on bool) io.Writer {
	if on {
		return os.Stderr
	}
	return io.Discard
}

// dutiesCommand runs the proof of shared health checks with processes.
type dutiesCommand struct {
	Seed  uint64 `default:"1" help:"Random seed of the order of faults."`
	Size  int    `default:"10" help:"Number of nodes."`
	Short bool   `help:"Run the short form."`
	Log   bool   `help:"Print the log of the routers."`
}

// Run runs the proof.
func (c *dutiesCommand) Run() error {
	return printResult(proof.AssignmentProof{Seed: c.Seed, Nodes: c.Size, Short: c.Short, Interval: time.Second, Log: logWriter(c.Log), Output: os.Stdout}.Run())
}

// dutiesSimulationCommand runs the proof of shared health checks in simulated time.
type dutiesSimulationCommand struct {
	Seed  uint64 `default:"1" help:"Random seed of delays, phases and churn."`
	Sizes string `default:"3x10,3x1000,30x1000,300x1000,1000x1000" help:"Comma-separated sizes of the runs, each INSTANCESxNODES."`
}

// Run runs the proof.
func (c *dutiesSimulationCommand) Run() error {
	sizes, err := parseSizes(c.Sizes)
	if err != nil {
		return err
	}
	return printResult(proof.AssignmentSimulation{Seed: c.Seed, Sizes: sizes, Output: os.Stdout}.Run())
}

// statementsCommand runs the proof of statement classification.
type statementsCommand struct {
	Seed uint64 `default:"1" help:"Random seed of the corpus and the mix."`
	Size int    `default:"20000" help:"Number of statements in the corpus."`
}

// Run runs the proof.
func (c *statementsCommand) Run() error {
	return printResult(proof.StatementProof{Seed: c.Seed, Size: c.Size, ReplaySize: 200_000, Output: os.Stdout}.Run())
}

// leasesCommand runs the proof of leases with processes.
type leasesCommand struct {
	Seed    uint64        `default:"1" help:"Random seed of faults, clocks and their order."`
	Voters  int           `default:"3" help:"Number of voters."`
	Others  int           `default:"2" help:"Number of processes that do not vote."`
	Span    time.Duration `default:"40s" help:"Duration of the mixed faults."`
	Lasting bool          `help:"Voters store their votes on disk."`
	Script  string        `type:"existingfile" help:"Script of faults to run instead of a random one."`
	Print   bool          `help:"Print the random script without running it."`
	Log     bool          `help:"Print the log of the routers."`
}

// Run runs the proof.
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
	return printResult(leases.Run())
}

// leaseSimulationCommand runs the proof of package lease in simulated time.
type leaseSimulationCommand struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"100000" help:"Number of seeds run with mixed faults."`
	Plant int    `default:"20000" help:"Maximum number of seeds tried to detect each injected bug; 0 injects none."`
	Sizes string `default:"3x1,3x1000,30x1000,300x1000,1000x1000,1000x10000" help:"Comma-separated sizes of the runs that measure scale, each INSTANCESxLEASES; empty for none."`
}

// Run runs the proof.
func (c *leaseSimulationCommand) Run() error {
	sizes, err := parseSizes(c.Sizes)
	if err != nil {
		return err
	}
	return printResult(proof.LeaseSimulation{From: c.From, Seeds: c.Seeds, RepeatEvery: 100, MistakeSeeds: c.Plant, Sizes: sizes, Output: os.Stdout}.Run())
}

// releasesCommand runs the proof of rollouts with processes.
type releasesCommand struct {
	Seed    uint64 `default:"1" help:"Random seed of faults and their order."`
	Routers int    `default:"12" help:"Number of router processes."`
	Voters  int    `default:"3" help:"Number of voters among the routers."`
	Groups  int    `default:"8" help:"Number of groups of three nodes, one in each zone."`
	Nodes   int    `default:"8" help:"Number of nodes that are drained and returned."`
	Faults  bool   `help:"Kill, pause and isolate routers while plans run."`
	Lose    bool   `help:"Kill the leading router twice in the middle of a wave."`
	Alone   bool   `help:"Run the baseline instead: each router is restarted on its own, without coordination."`
	Log     bool   `help:"Print the log of the routers."`
}

// Run runs the proof.
func (c *releasesCommand) Run() error {
	p := proof.RolloutProof{Seed: c.Seed, Routers: c.Routers, Voters: c.Voters, Groups: c.Groups, Nodes: c.Nodes, Faults: c.Faults, Alone: c.Alone, Lose: c.Lose, Log: logWriter(c.Log), Output: os.Stdout}
	return printResult(p.Run())
}

// rolloutSimulationCommand runs the proof of package rollout in simulated time.
type rolloutSimulationCommand struct {
	From  uint64 `default:"0" help:"First seed."`
	Seeds int    `default:"50000" help:"Number of seeds run with mixed faults."`
	Plant int    `default:"3000" help:"Maximum number of seeds tried to detect each injected bug; 0 injects none."`
	Halts int    `default:"1000" help:"Number of pairs of a good version and a bad one, which fails 2% more of its commands."`
	Sizes []int  `default:"10,30,100,300,1000" help:"Numbers of routers in the plans run without faults."`
	Trace bool   `help:"Run only the first seed and print its events."`
}

// Run runs the proof.
func (c *rolloutSimulationCommand) Run() error {
	if c.Trace {
		return proof.TraceRolloutSimulation(c.From, os.Stdout)
	}
	return printResult(proof.RolloutSimulation{From: c.From, Seeds: c.Seeds, RepeatEvery: 100, MistakeSeeds: c.Plant, VersionPairs: c.Halts, Sizes: c.Sizes, Output: os.Stdout}.Run())
}

// noisyClientsCommand runs the soak of clients that misuse a router.
type noisyClientsCommand struct {
	From   uint64 `default:"1" help:"First seed."`
	Seeds  uint64 `default:"50" help:"Number of seeds, some 6 s each."`
	Router string `type:"existingfile" default:"bin/cairntiller" help:"Executable of the router."`
	Log    bool   `help:"Print the log of the routers."`
}

// Run runs the soak.
func (c *noisyClientsCommand) Run() error {
	plays := noisyclients.Soak{Program: c.Router, Log: logWriter(c.Log)}
	return printResult(soak.Series{Name: "noisy-clients", From: c.From, Seeds: c.Seeds, Output: os.Stdout}.Run(plays.Play))
}

// failoversCommand runs the soak of sessions during hand-overs.
type failoversCommand struct {
	From   uint64        `default:"1" help:"First seed."`
	Seeds  uint64        `default:"30" help:"Number of seeds."`
	Length time.Duration `default:"20s" help:"Length of each."`
	Router string        `type:"existingfile" default:"bin/cairntiller" help:"Executable of the router."`
	Log    bool          `help:"Print the log of the routers."`
}

// Run runs the soak.
func (c *failoversCommand) Run() error {
	plays := failovers.Soak{Length: c.Length, Program: c.Router, Log: logWriter(c.Log)}
	return printResult(soak.Series{Name: "failovers", From: c.From, Seeds: c.Seeds, Output: os.Stdout}.Run(plays.Play))
}

// parseSizes parses a comma-separated list of sizes, such as 3x10,30x1000.
func parseSizes(text string) (all [][2]int, err error) {
	if text == "" {
		return nil, nil
	}
	for field := range strings.SplitSeq(text, ",") {
		var size [2]int
		if _, err := fmt.Sscanf(field, "%dx%d", &size[0], &size[1]); err != nil || size[0] < 2 || size[1] < 1 {
			return nil, fmt.Errorf("size %q: want two numbers such as 30x1000, at least 2x1", field)
		}
		all = append(all, size)
	}
	return all, nil
}

// childCommand runs a router process of the proof of shared health checks.
type childCommand struct {
	File string
}

// Run runs the router until its standard input ends.
func (c *childCommand) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	return proof.RunSharingRouter(c.File)
}

func main() {
	noisyclients.ChildMain()
	var commands commandLine
	ctx := kong.Parse(&commands, kong.Name("proof"), kong.Description("Runs system tests of the project's subsystems."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		var code supervisor.ExitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
