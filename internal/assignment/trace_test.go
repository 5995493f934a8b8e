package assignment

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// traceHash runs a table on generated inputs of every kind and returns a hash of all its results.
func traceHash(seed uint64) uint64 {
	sum := fnv.New64a()
	hashText := func(s string) { fmt.Fprintf(sum, "%d:%s", len(s), s) }
	hashNumbers := func(values ...int64) {
		for _, n := range values {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	hashFlags := func(values ...bool) {
		for _, value := range values {
			fmt.Fprint(sum, value)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	now := int64(1_000_000)
	tab := New(now, Config{
		Self:        "r0",
		Weight:      1,
		Incarnation: 5,
		Interval:    500_000 + rng.Int64N(1_000_000),
		Instances:   1 + rng.IntN(6),
		MaxRunRate:  1 + rng.Float64()*5,
		ClaimRate:   2 + rng.Float64()*20,
	})
	member := func() string { return fmt.Sprint("r", rng.IntN(8)) }
	key := func() string { return fmt.Sprint("probe/s-", rng.IntN(20)) }
	var runs []DueRun
	for range 4000 {
		switch n := rng.IntN(40); {
		case n < 3:
			tab.MemberUp(now, member(), []float64{1, 1, 1, 2}[rng.IntN(4)], uint64(1+rng.IntN(9)))
		case n < 4:
			tab.MemberDown(now, member(), uint64(1+rng.IntN(9)), rng.IntN(2) == 0)
		case n < 7:
			tab.AddTask(now, key(), rng.Int64N(2))
		case n < 8:
			tab.RemoveTask(key())
		case n < 20:
			u := tab.HandleUpdate(now, Update{Key: key(), Owner: member(), Term: uint64(rng.IntN(40)), Age: rng.Int64N(4_000_000) - 1000,
				NodeStarted: rng.Int64N(2), Unresponsive: rng.IntN(4) == 0, Position: rng.Int64N(9), PrimaryHint: int8(rng.IntN(3) - 1), LoadReport: "x"})
			hashNumbers(u.Position, int64(u.PrimaryHint), u.LearnedAt)
			hashFlags(u.Unresponsive, u.Responsive)
		case n < 21:
			tab.HandleRejoin(now, 1+rng.IntN(3))
		case n < 22 && rng.IntN(10) == 0:
			now += rng.Int64N(9_000_000)
		case n < 22 && rng.IntN(40) == 0:
			now += 700_000_000
		default:
			now += 50_000 + rng.Int64N(100_000)
			runs = tab.Tick(now, runs)
			for _, r := range runs {
				hashText(r.Key)
				hashFlags(r.SecondOpinion)
				if rng.IntN(8) > 0 {
					w := tab.RecordRun(now+1000, Update{Key: r.Key, Unresponsive: rng.IntN(5) == 0, Position: rng.Int64N(9), PrimaryHint: 1, LoadReport: "y"}, r.SecondOpinion)
					hashText(w.Key + w.Owner + w.LoadReport)
					hashNumbers(int64(w.Term), w.Age, w.NodeStarted, w.Position, int64(w.PrimaryHint))
					hashFlags(w.Unresponsive)
				}
			}
		}
		taskKey, name := key(), member()
		owner, term, age := tab.Owner(now, taskKey)
		hashText(owner)
		stats := tab.Stats(now)
		hashNumbers(int64(term), age, stats.Claims, stats.TargetChanges, int64(stats.LiveMembers), int64(stats.SlowMembers), tab.Interval(), int64(tab.OwnedTasks()), int64(tab.TargetedTasks(name)), int64(tab.Rejoins(name)))
		hashFlags(tab.Owns(taskKey), tab.Delegated(now, taskKey), tab.ClaimsTasks())
	}
	return sum.Sum64()
}

// wantHashes holds the expected hash by seed. Last recorded when stalls of the instance itself stopped counting against
// its peers.
var wantHashes = [...]uint64{
	0xa5585bf4ad7051bb,
	0xd05532ed46c8fd14,
	0x9da30bd1b47e2c74,
	0x5e3c73b2bd9f1903,
	0xec6404388f08fe1,
	0xea3f2d07ab50b93d,
	0x86347604c8b18f61,
	0x99404dda8cc3ef90,
	0xde5fff5afcf81b71,
	0x23768e6a8adfd877,
	0x7ea17891115f61e6,
	0x7e318c1bfe54440b,
	0xa3a030104c1e3217,
	0x678ed8bb0bb4418e,
	0xeed2366908946b19,
	0x69f8a0dc94a0b82d,
	0xeb0dbc51eba6d4e9,
	0x410dc64ab4f9d380,
	0x2653515dc40406d0,
	0xd7b0b36cdabac43a,
}

// Guards refactorings that must not alter a decision: the results for the generated inputs stay the same. An intended
// change of a rule requires new hashes.
func TestDecisionsUnchanged(t *testing.T) {
	for seed, want := range wantHashes {
		if got := traceHash(uint64(seed)); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
}
