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

// trace is a hash over everything that a simulation does, in order.
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

// runTrace runs one seed through every type of fault of the simulation. It hashes what every instance runs and sends in each
// step, and the state of its table once a second.
func runTrace(seed uint64, instances, nodes int) uint64 {
	t := trace{fnv.New64a()}
	c := New(seed, instances, nodes, 1_000_000, 4, 50)
	c.MessageSize = func(origin string, updates []assignment.Update) int {
		t.text(origin)
		for _, update := range updates {
			t.update(update)
		}
		return len(updates)
	}
	c.OnProbe = func(at int64, instance, node int) { t.number(at, int64(instance), int64(node)) }
	advance := func(span int64) {
		for end := c.Now + span; c.Now < end; {
			c.Run(Step)
			for _, in := range c.instances {
				for _, r := range in.due {
					t.text(r.Key)
					t.flag(r.SecondOpinion)
				}
				for _, update := range in.unsent {
					t.update(update)
				}
			}
			if c.Now%1_000_000 == 0 {
				t.tables(c)
			}
		}
	}
	at := func(n int) int { return (int(seed) + n) % instances }
	advance(8_000_000)
	c.Loss, c.Duplication, c.MaxDelay = 0.1, 0.2, 900_000
	c.Kill(at(0))
	advance(4_000_000)
	c.Start(at(0))
	if seed%2 == 1 {
		c.Pause(at(1))
	}
	advance(6_000_000)
	c.Resume(at(1))
	c.SetPartition(at(2), 1)
	advance(8_000_000)
	c.SetPartition(at(2), 0)
	c.CutLink(at(0), at(1), true)
	c.SuspendTasks(at(3), true)
	c.SetNodeDead(int(seed)%nodes, true)
	c.CutNodeLink(at(1), int(seed+1)%nodes, true)
	advance(8_000_000)
	c.CutLink(at(0), at(1), false)
	c.SuspendTasks(at(3), false)
	c.SetNodeDead(int(seed)%nodes, false)
	c.CutNodeLink(at(1), int(seed+1)%nodes, false)
	c.ReplaceNode(int(seed+2) % nodes)
	c.SetClock(at(4), 3600_000_000)
	advance(8_000_000)
	longest, node := c.LongestUnprobed()
	t.number(longest, int64(node), c.TotalProbes, c.UpdatesSent, c.Broadcasts, c.BytesSent, int64(c.PeakProbes))
	return t.sum.Sum64()
}

// tables hashes what each instance's table reports about itself, the other instances and every node.
func (t trace) tables(c *Cluster) {
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

// recorded holds the expected hashes, by instances, nodes and seed. They were recorded after the change by which an instance's
// own stalls no longer count against others.
var recorded = map[string]uint64{
	"3 instances, 10 nodes, seed 0":   0x2593ae512f425f2f,
	"3 instances, 10 nodes, seed 1":   0xde3d60ea35958c47,
	"3 instances, 10 nodes, seed 2":   0x92b2d6ac19094cd5,
	"3 instances, 10 nodes, seed 3":   0x1be78785ac99184b,
	"3 instances, 10 nodes, seed 4":   0x26fbd0e1026e839c,
	"3 instances, 10 nodes, seed 5":   0x7a3a5d29223f10da,
	"3 instances, 10 nodes, seed 6":   0x4ca4c3aeef7c9aed,
	"3 instances, 10 nodes, seed 7":   0xab1dd854fd1dc43c,
	"5 instances, 30 nodes, seed 0":   0x9bb4583375947d45,
	"5 instances, 30 nodes, seed 1":   0x4903b8368ed6df5b,
	"5 instances, 30 nodes, seed 2":   0x2b0f595d978e1a77,
	"5 instances, 30 nodes, seed 3":   0x1e0911d6bfe7cff5,
	"5 instances, 30 nodes, seed 4":   0x6140c6b2aa229ab4,
	"5 instances, 30 nodes, seed 5":   0x8fc924d1d1587b97,
	"5 instances, 30 nodes, seed 6":   0x3105b29a0b7ab931,
	"5 instances, 30 nodes, seed 7":   0x294b875f3e201ef,
	"12 instances, 40 nodes, seed 0":  0xf1e1a483fad6d412,
	"12 instances, 40 nodes, seed 1":  0xc7b4a34c58473b37,
	"12 instances, 40 nodes, seed 2":  0x4464078d2b1d5178,
	"12 instances, 40 nodes, seed 3":  0xe6552477d407daee,
	"12 instances, 40 nodes, seed 4":  0xcb8f0d7918ce6272,
	"12 instances, 40 nodes, seed 5":  0x9f6392b6d2e69757,
	"12 instances, 40 nodes, seed 6":  0xbbf8acff4ab2b9d9,
	"12 instances, 40 nodes, seed 7":  0x1fd7756b31dec243,
	"30 instances, 25 nodes, seed 0":  0xdf9601da1b6fab73,
	"30 instances, 25 nodes, seed 1":  0x64a8f35a349e802,
	"30 instances, 25 nodes, seed 2":  0xba7464615a636e94,
	"30 instances, 25 nodes, seed 3":  0xb377c0e7aaaa24b1,
	"30 instances, 25 nodes, seed 4":  0x553a54ceeca2d08,
	"30 instances, 25 nodes, seed 5":  0x62c84e4a77786fbe,
	"30 instances, 25 nodes, seed 6":  0x99f53db41eeb57d2,
	"30 instances, 25 nodes, seed 7":  0x2ce4aef100cd5693,
	"80 instances, 200 nodes, seed 0": 0xf175aa5c3f8f090d,
	"80 instances, 200 nodes, seed 1": 0xa6306798e61eb2a0,
	"80 instances, 200 nodes, seed 2": 0xd93afdf5a933ce22,
	"80 instances, 200 nodes, seed 3": 0x9df6d3a3d4482d3a,
	"80 instances, 200 nodes, seed 4": 0xc9bd0378b1be2fe5,
	"80 instances, 200 nodes, seed 5": 0xc7cf85547577cbd9,
	"80 instances, 200 nodes, seed 6": 0xb855efbeb888708,
	"80 instances, 200 nodes, seed 7": 0x822047813db44ebf,
}

// TestTraceIsAsRecorded detects changes that alter a decision unintentionally. Running another task or sending another
// update in any step, or having another owner in a table, changes the hash. An intended change of a rule must record the
// hashes again.
func TestTraceIsAsRecorded(t *testing.T) {
	for _, size := range [][2]int{{3, 10}, {5, 30}, {12, 40}, {30, 25}, {80, 200}} {
		for seed := range uint64(8) {
			name := fmt.Sprintf("%d instances, %d nodes, seed %d", size[0], size[1], seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if got := runTrace(seed, size[0], size[1]); got != recorded[name] {
					t.Errorf("trace hash %#x, want %#x", got, recorded[name])
				}
			})
		}
	}
}
