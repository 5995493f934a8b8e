package proof

import (
	"log/slog"
	"os"
	"time"

	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
)

// HiddenCommands are the commands by which a proof starts its own program again, as the processes it is made of.
type HiddenCommands struct {
	ChildLeases   childLeasesCommand   `cmd:"" hidden:""`
	ChildReleases childReleasesCommand `cmd:"" hidden:""`
	Hold          holdCommand          `cmd:"" hidden:""`
	Keep          keepCommand          `cmd:"" hidden:""`
	BadKeep       badKeepCommand       `cmd:"" hidden:""`
	Work          workCommand          `cmd:"" hidden:""`
}

// asExitCode ends the process with the code of the command that it ran.
func asExitCode(code int, err error) error {
	if err != nil {
		return err
	}
	return supervisor.ExitCode(code)
}

// childFlags is what the command line of a router process says.
type childFlags struct {
	Clock, Own, File string
}

func (s *childFlags) options() process.ChildOptions {
	return process.ChildOptions{OperatorFile: s.File, Clock: s.Clock, SourceAddress: s.Own}
}

// logEverything logs to standard error, from level info on.
func logEverything() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})))
}

// childLeasesCommand runs a router process of the proof of leases.
type childLeasesCommand struct {
	childFlags
	Acts, Name string
	Bulk       int
}

// Run runs it.
func (l *childLeasesCommand) Run() error {
	logEverything()
	return RunLeaseRouter(l.options(), l.Acts, l.Name, l.Bulk)
}

// childReleasesCommand runs a router process of the proof of rollouts.
type childReleasesCommand struct{ childFlags }

// Run runs it.
func (l *childReleasesCommand) Run() error {
	logEverything()
	return process.RunChild(l.options(), nil, nil)
}

// holdCommand holds a lease and works under it.
type holdCommand struct {
	Socket, Clock, Keeper, Acts, Holder string
	Length                              time.Duration
	Lease                               string `arg:""`
}

// Run runs it.
func (l *holdCommand) Run() error {
	return asExitCode(RunWorkloadWithLease(l.Socket, l.Clock, l.Keeper, l.Acts, l.Holder, l.Lease, l.Length))
}

// keepCommand supervises a command as the product does.
type keepCommand struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

// Run runs it.
func (l *keepCommand) Run() error {
	return asExitCode(SuperviseCommand(l.Clock, l.Room, l.Args))
}

// badKeepCommand supervises a command without ending it in time: a planted mistake.
type badKeepCommand struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

// Run runs it.
func (l *badKeepCommand) Run() error { return SuperviseWithoutDeadline(l.Args) }

// workCommand works under a lease, unchecked.
type workCommand struct {
	Acts, Holder string
	Span         time.Duration
	Lease        string `arg:""`
}

// Run runs it.
func (l *workCommand) Run() error { return RunWorkload(l.Acts, l.Holder, l.Lease, l.Span) }
