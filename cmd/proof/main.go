// Command proof plays the project's proofs on loopback and in simulated time. Each ends with one line and exits 0 only
// where every limit holds.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cairntiller/internal/standin/proof"
)

type line struct {
	Duties     dutiesLine     `cmd:"" help:"Three routers share probes; one is killed, one stopped, one cut off."`
	Sizes      sizesLine      `cmd:"" help:"Shared duties among many instances, in simulated time."`
	Statements statementsLine `cmd:"" help:"A corpus of statements whose classes are known, and a morning's mix."`
	Child      childLine      `cmd:"" hidden:""`
}

type dutiesLine struct {
	Seed  uint64 `default:"1" help:"For the order of faults."`
	Size  int    `default:"10" help:"Boxes."`
	Short bool   `help:"The short form."`
	Log   bool   `help:"Print what the routers log."`
}

func (l *dutiesLine) Run() error {
	log := io.Discard
	if l.Log {
		log = os.Stderr
	}
	end, err := proof.Duties{Seed: l.Seed, Boxes: l.Size, Short: l.Short, Every: time.Second, Log: log, Writes: os.Stdout}.Run()
	if end != "" {
		fmt.Println(end)
	}
	return err
}

type sizesLine struct {
	Seed  uint64 `default:"1" help:"For delays, phases and churn."`
	Sizes string `default:"3x10,3x1000,30x1000,300x1000,1000x1000" help:"Instances x boxes, each."`
}

func (l *sizesLine) Run() error {
	p := proof.Sizes{Seed: l.Seed, Writes: os.Stdout}
	for one := range strings.SplitSeq(l.Sizes, ",") {
		var size [2]int
		if _, err := fmt.Sscanf(one, "%dx%d", &size[0], &size[1]); err != nil || size[0] < 2 || size[1] < 1 {
			return fmt.Errorf("%q: want instances x boxes, such as 30x1000", one)
		}
		p.Sizes = append(p.Sizes, size)
	}
	end, err := p.Run()
	fmt.Println(end)
	return err
}

type statementsLine struct {
	Seed uint64 `default:"1" help:"For the corpus and the mix."`
	Size int    `default:"20000" help:"Statements of the corpus."`
}

func (l *statementsLine) Run() error {
	end, err := proof.Statements{Seed: l.Seed, Size: l.Size, Morning: 200_000, Writes: os.Stdout}.Run()
	if end != "" {
		fmt.Println(end)
	}
	return err
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
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
