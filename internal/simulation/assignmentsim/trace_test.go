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

func (t trace) update(u assignment.Update) {
	t.text(u.Key)
	t.text(u.Owner)
	t.number(int64(u.Term), u.Age, u.NodeStarted, u.Position, int64(u.PrimaryHint))
	t.flag(u.Unresponsive)
	t.text(u.LoadReport)
}

// play runs one seed through every kind of fault that the simulation has, and hashes in each step what every instance
// runs and sends, and once a second what each believes of every node.
func play(seed uint64, instances, nodes int) uint64 {
	t := trace{fnv.New64a()}
	c := New(seed, instances, nodes, 1_000_000, 4, 50)
	c.MessageSize = func(origin string, words []assignment.Update) int {
		t.text(origin)
		for _, one := range words {
			t.update(one)
		}
		return len(words)
	}
	c.OnProbe = func(at int64, instance, node int) { t.number(at, int64(instance), int64(node)) }
	pass := func(span int64) {
		for end := c.Now + span; c.Now < end; {
			c.Run(Step)
			for _, in := range c.instances {
				for _, r := range in.due {
					t.text(r.Key)
					t.flag(r.SecondOpinion)
				}
				for _, one := range in.unsent {
					t.update(one)
				}
			}
			if c.Now%1_000_000 == 0 {
				t.beliefs(c)
			}
		}
	}
	at := func(n int) int { return (int(seed) + n) % instances }
	pass(8_000_000)
	c.Loss, c.Duplication, c.MaxDelay = 0.1, 0.2, 900_000
	c.Kill(at(0))
	pass(4_000_000)
	c.Start(at(0))
	if seed%2 == 1 {
		c.Pause(at(1))
	}
	pass(6_000_000)
	c.Resume(at(1))
	c.SetSide(at(2), 1)
	pass(8_000_000)
	c.SetSide(at(2), 0)
	c.CutOneWay(at(0), at(1), true)
	c.Mute(at(3), true)
	c.SetNodeDead(int(seed)%nodes, true)
	c.CutFromNode(at(1), int(seed+1)%nodes, true)
	pass(8_000_000)
	c.CutOneWay(at(0), at(1), false)
	c.Mute(at(3), false)
	c.SetNodeDead(int(seed)%nodes, false)
	c.CutFromNode(at(1), int(seed+1)%nodes, false)
	c.ReplaceNode(int(seed+2) % nodes)
	c.SetClock(at(4), 3600_000_000)
	pass(8_000_000)
	longest, node := c.LongestUnprobed()
	t.number(longest, int64(node), c.TotalProbes, c.UpdatesSent, c.Broadcasts, c.BytesSent, int64(c.PeakProbes))
	return t.sum.Sum64()
}

// beliefs hashes what each instance's table says of itself, of the others and of every node.
func (t trace) beliefs(c *Cluster) {
	for i, in := range c.instances {
		now := c.InstanceTime(i)
		stats := in.table.Stats(now)
		t.number(stats.Claims, stats.TargetChanges, int64(stats.LiveMembers), int64(stats.SlowMembers), in.table.Interval(), int64(in.table.OwnedTasks()))
		t.flag(in.table.ClaimsTasks())
		for _, other := range c.instances {
			t.number(int64(in.table.Rejoins(other.name)), int64(in.table.TargetedTasks(other.name)))
		}
		for _, n := range c.nodes {
			key := n.key
			owner, term, age := in.table.Owner(now, key)
			t.text(owner)
			t.number(int64(term), age)
			t.flag(in.table.Owns(key))
			t.flag(in.table.Delegated(now, key))
		}
		t.number(int64(math.Float64bits(float64(c.Probes(i % len(c.nodes))))))
	}
}

// recorded are the hashes of the program before its names and files were put in order, by instances, nodes and seed.
var recorded = map[string]uint64{
	"3 instances, 10 nodes, seed 0":   0x2593ae512f425f2f,
	"3 instances, 10 nodes, seed 1":   0xd876a4fa0af5f049,
	"3 instances, 10 nodes, seed 2":   0x918dcec5633cba15,
	"3 instances, 10 nodes, seed 3":   0x3eef654e2564fde3,
	"3 instances, 10 nodes, seed 4":   0x69b25406f3890b99,
	"3 instances, 10 nodes, seed 5":   0x89e9a3c17cf649b8,
	"3 instances, 10 nodes, seed 6":   0x56961901a43cc541,
	"3 instances, 10 nodes, seed 7":   0x45b101be0ed9e9bd,
	"5 instances, 30 nodes, seed 0":   0x8bd6cd6d8ec7f8a7,
	"5 instances, 30 nodes, seed 1":   0x3e02aa35bf8d3eb0,
	"5 instances, 30 nodes, seed 2":   0xf9d47f27beac21a5,
	"5 instances, 30 nodes, seed 3":   0xcfb7b613a0c9c96,
	"5 instances, 30 nodes, seed 4":   0x6f7b6b2506a5e8ae,
	"5 instances, 30 nodes, seed 5":   0x29c60a1a174dad50,
	"5 instances, 30 nodes, seed 6":   0xe92ea8bfd9d846f8,
	"5 instances, 30 nodes, seed 7":   0x3eaa29df73603e60,
	"12 instances, 40 nodes, seed 0":  0x789462e8e7a27d8c,
	"12 instances, 40 nodes, seed 1":  0xa8e177beb2378590,
	"12 instances, 40 nodes, seed 2":  0x384165e060624257,
	"12 instances, 40 nodes, seed 3":  0xa13c2fd8905fe8bb,
	"12 instances, 40 nodes, seed 4":  0x4a5bda0a69717ba9,
	"12 instances, 40 nodes, seed 5":  0xd85d70a2987d2b42,
	"12 instances, 40 nodes, seed 6":  0xa53467b32c12942a,
	"12 instances, 40 nodes, seed 7":  0xd3076fc2e4f509e7,
	"30 instances, 25 nodes, seed 0":  0xf8435b6a680d0259,
	"30 instances, 25 nodes, seed 1":  0x6459ccf13484eb8d,
	"30 instances, 25 nodes, seed 2":  0x2477adb000d97b83,
	"30 instances, 25 nodes, seed 3":  0xf7a58d146d90c89d,
	"30 instances, 25 nodes, seed 4":  0xeefaa8f5f75c59d9,
	"30 instances, 25 nodes, seed 5":  0x40f7c7a625fb7866,
	"30 instances, 25 nodes, seed 6":  0x26d82235c934bf2b,
	"30 instances, 25 nodes, seed 7":  0xe9608ec2d1622e6b,
	"80 instances, 200 nodes, seed 0": 0x88081740f88100aa,
	"80 instances, 200 nodes, seed 1": 0x1ac280165e81736e,
	"80 instances, 200 nodes, seed 2": 0xde0e0ef656e0dfba,
	"80 instances, 200 nodes, seed 3": 0x9fb5cc28c2b4b464,
	"80 instances, 200 nodes, seed 4": 0x5e5921f0121a3692,
	"80 instances, 200 nodes, seed 5": 0xc6b5292199a83ac3,
	"80 instances, 200 nodes, seed 6": 0x76968ec9a874776f,
	"80 instances, 200 nodes, seed 7": 0xf8ddd17e10fb476,
}

// TestTraceIsAsRecorded guards changes that must not alter a decision: one that runs another task, says another thing or
// believes another owner in any step of these runs shows as another hash. A change of a rule on purpose records anew.
func TestTraceIsAsRecorded(t *testing.T) {
	for _, size := range [][2]int{{3, 10}, {5, 30}, {12, 40}, {30, 25}, {80, 200}} {
		for seed := range uint64(8) {
			name := fmt.Sprintf("%d instances, %d nodes, seed %d", size[0], size[1], seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if got := play(seed, size[0], size[1]); got != recorded[name] {
					t.Errorf("%#x, want %#x", got, recorded[name])
				}
			})
		}
	}
}
