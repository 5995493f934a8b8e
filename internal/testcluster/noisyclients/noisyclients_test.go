package noisyclients

import (
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"cairntiller/internal/testcluster/cluster"
)

// routerProgram is the router's executable, without the race detector, whose memory is not the router's.
var routerProgram string

func TestMain(m *testing.M) {
	ChildMain()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	program, remove, err := cluster.BuildRouter()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	routerProgram = program
	return m.Run()
}

// routerLog receives the routers' logs; with NOISY_LOG=1 they are printed.
func routerLog() io.Writer {
	if os.Getenv("NOISY_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// check plays a load and checks the router's memory limit and the ordinary clients' answers.
func check(t *testing.T, load Load, memoryMB int) {
	t.Helper()
	const seed = 1
	play := Play{
		Load:     load,
		Seed:     seed,
		MemoryMB: memoryMB,
		Length:   2 * time.Second,
		Program:  routerProgram,
		Log:      routerLog(),
	}
	result, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, %d MB: %s", load, memoryMB, result)
	if result.PeakMemory > int64(memoryMB)<<20 {
		t.Errorf("%s: the router used %d MB, its limit is %d MB", load, result.PeakMemory>>20, memoryMB)
	}
	if late := result.During.late() + result.After.late(); late > 0 {
		t.Errorf("%s: %d commands of other clients got no answer in time", load, late)
	}
	if result.After.Served == 0 {
		t.Errorf("%s: nobody was served after the load's end", load)
	}
	for _, violation := range result.Violations {
		t.Errorf("%s: %s", load, violation)
	}
}

var memoryLimitsMB = []int{192, 32}

func checkAll(t *testing.T, loads ...Load) {
	for _, load := range loads {
		for _, memoryMB := range memoryLimitsMB {
			t.Run(fmt.Sprintf("%s/%d_MB", load, memoryMB), func(t *testing.T) { check(t, load, memoryMB) })
		}
	}
}

func TestSlowClientsStayWithinMemoryLimit(t *testing.T) {
	checkAll(t, NoLoad, HalfCommands, ManyFields, DrippedCommands, Pipelines)
}

func TestFullSpeedClientsDelayNoOthers(t *testing.T) {
	checkAll(t, EmptyQueries, WithoutID, NewClasses, NewShards, Syncs, NewIDs, LongWaits, LongKeys, UnreadAnswers, Reconnects, Connects)
}

func checkLeaving(t *testing.T, play LeavingClients) {
	t.Helper()
	play.Program = routerProgram
	play.Log = routerLog()
	result, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d writes ran, %d began late, %d violations", play.Seed, result.Executed, result.BegunLate, len(result.Violations))
	if result.BegunLate > 0 {
		t.Errorf("seed %d: %d writes began more than %v after their client had left", play.Seed, result.BegunLate, goneAfter)
	}
	if len(result.Violations) > 0 {
		t.Errorf("seed %d: %d violations, the first: %s", play.Seed, len(result.Violations), result.Violations[0])
	}
}

func TestRepeatedIDsOfLeavingClientsRunOnce(t *testing.T) {
	for seed := range uint64(3) {
		checkLeaving(t, LeavingClients{Seed: seed, Clients: 80, Writes: 12})
	}
}

func TestUnreadCommandsOfLeftClientsAreNotSent(t *testing.T) {
	for seed := range uint64(2) {
		checkLeaving(t, LeavingClients{Seed: seed, Clients: 20, Writes: 3000, Paused: true})
	}
}

// TestSoak plays a few seeds of the soak; cmd/proof plays as many as wanted.
func TestSoak(t *testing.T) {
	for seed := range uint64(4) {
		line, err := Soak{Program: routerProgram, Log: routerLog()}.Play(seed)
		t.Logf("seed %d: %s", seed, line)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
