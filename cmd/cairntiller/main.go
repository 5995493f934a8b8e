// Command cairntiller is one router, and what an operator needs beside it.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"cairntiller/internal/serve"
	"cairntiller/internal/supervisor"
)

// The exit codes.
const (
	exitFailure = 1 // it could not run, or a file has faults
	exitUsage   = 2 // the command line can't be read
)

// commandLine is the command line.
type commandLine struct {
	Log slog.Level `default:"info" placeholder:"LEVEL" help:"Least level of what is logged: debug, info, warn or error."`

	Run      runCommand      `cmd:"" default:"withargs" help:"Run a router. This is what happens without a command."`
	Check    checkCommand    `cmd:"" help:"Read an operator's file and name every fault in it with its place."`
	Classify classifyCommand `cmd:"" help:"Class statements, as a file or standard input gives them: class, cost, shape, route and reason of each."`
	Lease    leaseCommands   `cmd:"" help:"The fleet's leases: who holds them; hold one while a command runs."`
	Fleet    fleetCommands   `cmd:"" help:"Releases: who goes out and when, agreed across the fleet."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
	Demo     demoCommand     `cmd:"" help:"Show a router at work before simulated nodes on this machine, with a primary that dies half-way."`
}

// runCommand runs a router.
type runCommand struct {
	File string `type:"existingfile" placeholder:"FILE" help:"The operator's file, of S-expressions; see deploy/ and docs/operate/. Without one every part has its defaults."`
}

// checkCommand reads an operator's file.
type checkCommand struct {
	File string `arg:"" help:"The operator's file."`
}

// Run prints that there are no faults; its error holds all that there are.
func (c *checkCommand) Run(out io.Writer) error {
	if err := serve.CheckFile(c.File); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: no faults\n", c.File)
	return nil
}

// versionCommand prints the version that the program was built from.
type versionCommand struct{}

// Run prints it.
func (versionCommand) Run(out io.Writer) error {
	version := "unversioned"
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, one := range b.Settings {
			if one.Key == "vcs.revision" {
				version = one.Value
			}
		}
		version += " " + b.GoVersion
	}
	fmt.Fprintln(out, "cairntiller", version)
	return nil
}

// description is the head of the help.
const description = `One process is one router: it takes commands from clients in PostgreSQL's protocol and sends each to a node of its group, writes to the primary and reads to a replica that is proven new enough.

A router is told by the file in RELAY_CONFIG, and by RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY, what it is, where it listens and what it balances. SIGHUP reads the files again, SIGUSR1 prints the counters, SIGTERM stops it in order.

Exit codes: 0 done, 1 it could not run or a file has faults, 2 the command line can't be read.`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the whole command; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 { // as platforms start it: nothing of the command line need be in memory
		return runRouter(errs, &runCommand{}, slog.LevelInfo)
	}
	var line commandLine
	ended := -1
	parser, err := kong.New(&line, kong.Name("cairntiller"), kong.Description(description), kong.UsageOnError(),
		kong.Writers(out, errs), kong.Exit(func(code int) { ended = code }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		panic(err) // a sub-command is declared wrongly: it shows at the first use of any
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 { // help was asked for
		return ended
	}
	if err != nil {
		fmt.Fprintln(errs, "cairntiller:", err)
		fmt.Fprintln(errs, "cairntiller --help tells what there is.")
		return exitUsage
	}
	if ctx.Command() == "run" {
		return runRouter(errs, &line.Run, line.Log)
	}
	setLogger(errs, line.Log)
	if err := ctx.Run(); err != nil {
		var code supervisor.ExitCode
		if errors.As(err, &code) {
			return int(code)
		}
		printError(errs, err)
		return exitFailure
	}
	return 0
}

// setLogger sends the log of the whole program, from a level on, to a writer.
func setLogger(errs io.Writer, level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level})))
}

// runRouter runs a router to its end.
func runRouter(errs io.Writer, c *runCommand, level slog.Level) int {
	setLogger(errs, level)
	if err := serve.Run(c.File, serve.TestHooks{}); err != nil {
		slog.Error("cannot run", "err", err)
		return exitFailure
	}
	return 0
}

// printError prints an error, each of several on a line of its own.
func printError(errs io.Writer, err error) {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, one := range joined.Unwrap() {
			fmt.Fprintln(errs, one)
		}
		return
	}
	fmt.Fprintln(errs, err)
}
