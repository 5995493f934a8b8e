// Command cairntiller runs a router and has sub-commands for its operators.
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
	exitFailure = 1 // the command failed, or a file has faults
	exitUsage   = 2 // the command line is invalid
)

// commandLine has the flags and sub-commands.
type commandLine struct {
	Log slog.Level `default:"info" placeholder:"LEVEL" help:"Minimum log level: debug, info, warn or error."`

	Run      runCommand      `cmd:"" default:"withargs" help:"Run a router. This is the default command."`
	Check    checkCommand    `cmd:"" help:"Validate an operator's file and print every fault with its position."`
	Classify classifyCommand `cmd:"" help:"Classify statements from a file or standard input: print class, cost, shape, route and reason of each."`
	Lease    leaseCommands   `cmd:"" help:"List, hold and free the cluster's leases."`
	Fleet    fleetCommands   `cmd:"" help:"Roll out releases and drain nodes, coordinated across the fleet."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
	Demo     demoCommand     `cmd:"" help:"Run a router in front of simulated nodes on this machine, and kill a primary halfway through."`
}

// runCommand runs a router.
type runCommand struct {
	File string `type:"existingfile" placeholder:"FILE" help:"Operator's file, of S-expressions; see deploy/ and docs/operate/. Without it every part has its defaults."`
}

// checkCommand validates an operator's file.
type checkCommand struct {
	File string `arg:"" help:"Operator's file."`
}

// Run prints that the file has no faults, or returns an error with all of them.
func (c *checkCommand) Run(out io.Writer) error {
	if err := serve.CheckFile(c.File); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: no faults\n", c.File)
	return nil
}

// versionCommand prints the version that the program was built from.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(out io.Writer) error {
	version := "unversioned"
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range b.Settings {
			if setting.Key == "vcs.revision" {
				version = setting.Value
			}
		}
		version += " " + b.GoVersion
	}
	fmt.Fprintln(out, "cairntiller", version)
	return nil
}

// description is the introduction of the help text.
const description = `Each process is one router. It accepts commands from clients over PostgreSQL's protocol and sends each to a node of its group: writes to the primary, reads to a replica that is known to be recent enough.

The file named by RELAY_CONFIG sets the router's name, its listen address and the address of discovery; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override them at startup. SIGHUP reloads the files, SIGUSR1 prints the counters, SIGTERM stops the router gracefully.

Exit codes: 0 success, 1 the command failed or a file has faults, 2 the command line is invalid.`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the program and returns its exit code.
func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 { // how platforms start it; skips the command-line parser to save its memory
		return runRouter(errs, &runCommand{}, slog.LevelInfo)
	}
	var line commandLine
	exitCode := -1
	parser, err := kong.New(&line, kong.Name("cairntiller"), kong.Description(description), kong.UsageOnError(),
		kong.Writers(out, errs), kong.Exit(func(code int) { exitCode = code }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		panic(err) // a sub-command is declared wrongly; any use of the command line shows it
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 { // the parser printed the help
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(errs, "cairntiller:", err)
		fmt.Fprintln(errs, "Run cairntiller --help for usage.")
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

// setLogger makes the default logger write records of at least the given level to errs.
func setLogger(errs io.Writer, level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level})))
}

// runRouter runs a router until it stops, and returns the exit code.
func runRouter(errs io.Writer, c *runCommand, level slog.Level) int {
	setLogger(errs, level)
	if err := serve.Run(c.File, serve.TestHooks{}); err != nil {
		slog.Error("router failed", "err", err)
		return exitFailure
	}
	return 0
}

// printError prints an error; each part of a joined error goes on its own line.
func printError(errs io.Writer, err error) {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, part := range joined.Unwrap() {
			fmt.Fprintln(errs, part)
		}
		return
	}
	fmt.Fprintln(errs, err)
}
