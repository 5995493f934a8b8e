package proof

import (
	"log/slog"
	"os"
	"time"

	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
)

// HiddenCommands are the sub-commands that a proof runs its own executable with to start its child processes. They are hidden
// from the help.
type HiddenCommands struct {
	ChildLeases   childLeasesCommand   `cmd:"" hidden:""`
	ChildReleases childReleasesCommand `cmd:"" hidden:""`
	Hold          holdCommand          `cmd:"" hidden:""`
	Keep          keepCommand          `cmd:"" hidden:""`
	BadKeep       badKeepCommand       `cmd:"" hidden:""`
	Work          workCommand          `cmd:"" hidden:""`
}

// exitCodeError returns err, or the exit code of a child command as an error, with which the process then ends.
func exitCodeError(code int, err error) error {
	if err != nil {
		return err
	}
	return supervisor.ExitCode(code)
}

// childFlags are the flags common to all router processes.
type childFlags struct {
	Clock, Own, File string
}

func (s *childFlags) options() process.ChildOptions {
	return process.ChildOptions{OperatorFile: s.File, Clock: s.Clock, SourceAddress: s.Own}
}

// logToStderr logs to standard error at level info and above.
func logToStderr() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})))
}

// childLeasesCommand runs a router process of the lease proof.
type childLeasesCommand struct {
	childFlags
	Acts, Name string
	Bulk       int
}

// Run runs it.
func (l *childLeasesCommand) Run() error {
	logToStderr()
	return RunLeaseRouter(l.options(), l.Acts, l.Name, l.Bulk)
}

// childReleasesCommand runs a router process of the rollout proof.
type childReleasesCommand struct{ childFlags }

// Run runs it.
func (l *childReleasesCommand) Run() error {
	logToStderr()
	return process.RunChild(l.options(), nil, nil)
}

// holdCommand acquires a lease and runs a workload while it is held.
type holdCommand struct {
	Socket, Clock, Keeper, Acts, Holder string
	Length                              time.Duration
	Lease                               string `arg:""`
}

// Run runs it.
func (l *holdCommand) Run() error {
	return exitCodeError(RunWorkloadWithLease(l.Socket, l.Clock, l.Keeper, l.Acts, l.Holder, l.Lease, l.Length))
}

// keepCommand supervises a command with the product's supervisor.
type keepCommand struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

// Run runs it.
func (l *keepCommand) Run() error {
	return exitCodeError(SuperviseCommand(l.Clock, l.Room, l.Args))
}

// badKeepCommand supervises a command but does not end it before its lease expires: a planted mistake.
type badKeepCommand struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

// Run runs it.
func (l *badKeepCommand) Run() error { return SuperviseWithoutDeadline(l.Args) }

// workCommand runs the workload of a leased command. It does not check the lease itself.
type workCommand struct {
	Acts, Holder string
	Span         time.Duration
	Lease        string `arg:""`
}

// Run runs it.
func (l *workCommand) Run() error { return RunWorkload(l.Acts, l.Holder, l.Lease, l.Span) }
