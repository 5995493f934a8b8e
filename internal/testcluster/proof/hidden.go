package proof

import (
	"log/slog"
	"os"
	"time"

	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
)

// Hidden are the commands by which a proof starts its own program again, as the processes it is made of.
type Hidden struct {
	ChildLeases   childLeases   `cmd:"" hidden:""`
	ChildReleases childReleases `cmd:"" hidden:""`
	Hold          holdLine      `cmd:"" hidden:""`
	Keep          keepLine      `cmd:"" hidden:""`
	BadKeep       badKeepLine   `cmd:"" hidden:""`
	Work          workLine      `cmd:"" hidden:""`
}

func exit(code int, err error) error {
	if err != nil {
		return err
	}
	return supervisor.ExitCode(code)
}

type self struct {
	Clock, Own, File string
}

func (s *self) at() process.ChildOptions {
	return process.ChildOptions{OperatorFile: s.File, Clock: s.Clock, SourceAddress: s.Own}
}

func logAll() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})))
}

type childLeases struct {
	self
	Acts, Name string
	Bulk       int
}

func (l *childLeases) Run() error {
	logAll()
	return LeaseChild(l.at(), l.Acts, l.Name, l.Bulk)
}

type childReleases struct{ self }

func (l *childReleases) Run() error {
	logAll()
	return process.RunChild(l.at(), nil, nil)
}

type holdLine struct {
	Socket, Clock, Keeper, Acts, Holder string
	Length                              time.Duration
	Lease                               string `arg:""`
}

func (l *holdLine) Run() error {
	return exit(HoldWork(l.Socket, l.Clock, l.Keeper, l.Acts, l.Holder, l.Lease, l.Length))
}

type keepLine struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

func (l *keepLine) Run() error {
	return exit(Keep(l.Clock, l.Room, l.Args))
}

type badKeepLine struct {
	Clock string
	Room  time.Duration
	Args  []string `arg:"" passthrough:""`
}

func (l *badKeepLine) Run() error { return BadKeep(l.Args) }

type workLine struct {
	Acts, Holder string
	Span         time.Duration
	Lease        string `arg:""`
}

func (l *workLine) Run() error { return Work(l.Acts, l.Holder, l.Lease, l.Span) }
