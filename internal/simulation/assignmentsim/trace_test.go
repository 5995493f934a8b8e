package assignmentsim

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"testing"

	"cairntiller/internal/assignment"
)

// trace hashes everything that a simulation does, in its order.
type trace struct{ sum hash.Hash64 }

func (t trace) text(s string) {
	t.number(int64(len(s)))
	t.sum.Write([]byte(s))
}

func (t trace) number(numbers ...int64) {
	for _, n := range numbers {
		t.sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
	}
}

func (t trace) flag(is bool) {
	if is {
		t.number(1)
	} else {
		t.number(0)
	}
}

func (t trace) word(w assignment.Update) {
	t.text(w.Key)
	t.text(w.Owner)
	t.number(int64(w.Term), w.Age, w.NodeStarted, w.Position, int64(w.PrimaryHint))
	t.flag(w.Unresponsive)
	t.text(w.LoadReport)
}

// play runs one seed through every kind of fault that the simulation has, and hashes in each step what every instance
// runs and says, and once a second what each believes of every box.
func play(seed uint64, instances, boxes int) uint64 {
	t := trace{fnv.New64a()}
	w := New(seed, instances, boxes, 1_000_000, 4, 50)
	w.Weigh = func(origin string, words []assignment.Update) int {
		t.text(origin)
		for _, one := range words {
			t.word(one)
		}
		return len(words)
	}
	w.OnProbe(func(at int64, instance, box int) { t.number(at, int64(instance), int64(box)) })
	pass := func(span int64) {
		for end := w.Now + span; w.Now < end; {
			w.Run(Step)
			for _, in := range w.list {
				for _, r := range in.runs {
					t.text(r.Key)
					t.flag(r.SecondOpinion)
				}
				for _, one := range in.out {
					t.word(one)
				}
			}
			if w.Now%1_000_000 == 0 {
				t.beliefs(w)
			}
		}
	}
	at := func(n int) int { return (int(seed) + n) % instances }
	pass(8_000_000)
	w.Loss, w.Twice, w.Slow = 0.1, 0.2, 900_000
	w.Kill(at(0))
	pass(4_000_000)
	w.Start(at(0))
	if seed%2 == 1 {
		w.Stop(at(1))
	}
	pass(6_000_000)
	w.Continue(at(1))
	w.Side(at(2), 1)
	pass(8_000_000)
	w.Side(at(2), 0)
	w.OneWay(at(0), at(1), true)
	w.Mute(at(3), true)
	w.Box(int(seed)%boxes, true)
	w.Blind(at(1), int(seed+1)%boxes, true)
	pass(8_000_000)
	w.OneWay(at(0), at(1), false)
	w.Mute(at(3), false)
	w.Box(int(seed)%boxes, false)
	w.Blind(at(1), int(seed+1)%boxes, false)
	w.Replace(int(seed+2) % boxes)
	w.Clock(at(4), 3600_000_000)
	pass(8_000_000)
	longest, box := w.Longest()
	t.number(longest, int64(box), w.Total, w.Words, w.Batches, w.Bytes, int64(w.Peak))
	return t.sum.Sum64()
}

// beliefs hashes what each instance's table says of itself, of the others and of every box.
func (t trace) beliefs(w *Cluster) {
	for i, in := range w.list {
		now := w.At(i)
		stats := in.table.Stats(now)
		t.number(stats.Claims, stats.TargetChanges, int64(stats.LiveMembers), int64(stats.SlowMembers), in.table.Interval(), int64(in.table.OwnedTasks()))
		t.flag(in.table.ClaimsTasks())
		for _, other := range w.list {
			t.number(int64(in.table.Rejoins(other.name)), int64(in.table.TargetedTasks(other.name)))
		}
		for _, key := range w.keys {
			holder, term, age := in.table.Owner(now, key)
			t.text(holder)
			t.number(int64(term), age)
			t.flag(in.table.Owns(key))
			t.flag(in.table.Delegated(now, key))
		}
		t.number(int64(math.Float64bits(float64(w.Probes(i % len(w.keys))))))
	}
}

// recorded are the hashes of the program before its names and files were put in order, by instances, boxes and seed.
var recorded = map[string]uint64{
	"3 instances, 10 boxes, seed 0":   0x2593ae512f425f2f,
	"3 instances, 10 boxes, seed 1":   0xd876a4fa0af5f049,
	"3 instances, 10 boxes, seed 2":   0x918dcec5633cba15,
	"3 instances, 10 boxes, seed 3":   0x3eef654e2564fde3,
	"3 instances, 10 boxes, seed 4":   0x69b25406f3890b99,
	"3 instances, 10 boxes, seed 5":   0x89e9a3c17cf649b8,
	"3 instances, 10 boxes, seed 6":   0x56961901a43cc541,
	"3 instances, 10 boxes, seed 7":   0x45b101be0ed9e9bd,
	"5 instances, 30 boxes, seed 0":   0x8bd6cd6d8ec7f8a7,
	"5 instances, 30 boxes, seed 1":   0x3e02aa35bf8d3eb0,
	"5 instances, 30 boxes, seed 2":   0xf9d47f27beac21a5,
	"5 instances, 30 boxes, seed 3":   0xcfb7b613a0c9c96,
	"5 instances, 30 boxes, seed 4":   0x6f7b6b2506a5e8ae,
	"5 instances, 30 boxes, seed 5":   0x29c60a1a174dad50,
	"5 instances, 30 boxes, seed 6":   0xe92ea8bfd9d846f8,
	"5 instances, 30 boxes, seed 7":   0x3eaa29df73603e60,
	"12 instances, 40 boxes, seed 0":  0x789462e8e7a27d8c,
	"12 instances, 40 boxes, seed 1":  0xa8e177beb2378590,
	"12 instances, 40 boxes, seed 2":  0x384165e060624257,
	"12 instances, 40 boxes, seed 3":  0xa13c2fd8905fe8bb,
	"12 instances, 40 boxes, seed 4":  0x4a5bda0a69717ba9,
	"12 instances, 40 boxes, seed 5":  0xd85d70a2987d2b42,
	"12 instances, 40 boxes, seed 6":  0xa53467b32c12942a,
	"12 instances, 40 boxes, seed 7":  0xd3076fc2e4f509e7,
	"30 instances, 25 boxes, seed 0":  0xf8435b6a680d0259,
	"30 instances, 25 boxes, seed 1":  0x6459ccf13484eb8d,
	"30 instances, 25 boxes, seed 2":  0x2477adb000d97b83,
	"30 instances, 25 boxes, seed 3":  0xf7a58d146d90c89d,
	"30 instances, 25 boxes, seed 4":  0xeefaa8f5f75c59d9,
	"30 instances, 25 boxes, seed 5":  0x40f7c7a625fb7866,
	"30 instances, 25 boxes, seed 6":  0x26d82235c934bf2b,
	"30 instances, 25 boxes, seed 7":  0xe9608ec2d1622e6b,
	"80 instances, 200 boxes, seed 0": 0x88081740f88100aa,
	"80 instances, 200 boxes, seed 1": 0x1ac280165e81736e,
	"80 instances, 200 boxes, seed 2": 0xde0e0ef656e0dfba,
	"80 instances, 200 boxes, seed 3": 0x9fb5cc28c2b4b464,
	"80 instances, 200 boxes, seed 4": 0x5e5921f0121a3692,
	"80 instances, 200 boxes, seed 5": 0xc6b5292199a83ac3,
	"80 instances, 200 boxes, seed 6": 0x76968ec9a874776f,
	"80 instances, 200 boxes, seed 7": 0xf8ddd17e10fb476,
}

// TestTraceIsAsRecorded guards changes that must not alter a decision: one that runs another task, says another thing or
// believes another owner in any step of these runs shows as another hash. A change of a rule on purpose records anew.
func TestTraceIsAsRecorded(t *testing.T) {
	for _, size := range [][2]int{{3, 10}, {5, 30}, {12, 40}, {30, 25}, {80, 200}} {
		for seed := range uint64(8) {
			name := fmt.Sprintf("%d instances, %d boxes, seed %d", size[0], size[1], seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if got := play(seed, size[0], size[1]); got != recorded[name] {
					t.Errorf("RECORD\t%q: %#x,", name, got)
				}
			})
		}
	}
}
