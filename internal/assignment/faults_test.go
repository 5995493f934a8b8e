package assignment_test

import (
	"testing"

	"cairntiller/internal/simulation/assignmentsim"
)

const second = 1_000_000

// settledCluster makes instances and nodes and lets them run for 10 s; what is measured begins after that.
func settledCluster(seed uint64, n, nodes int) *assignmentsim.Cluster {
	c := assignmentsim.New(seed, n, nodes, second, 4, 50)
	c.Run(10 * second)
	c.ResetMeasurements()
	return c
}

// expectProbedWithin fails if a node went unprobed for longer than a limit (us).
func expectProbedWithin(t *testing.T, c *assignmentsim.Cluster, limit int64) {
	t.Helper()
	if got, node := c.LongestUnprobed(); got > limit {
		t.Errorf("node %d went unprobed for %.1f s, limit %.1f", node, float64(got)/second, float64(limit)/second)
	}
}

// expectOneOwner fails if a node's task has no owner, or more than one.
func expectOneOwner(t *testing.T, c *assignmentsim.Cluster, nodes int) {
	t.Helper()
	for node := range nodes {
		if n := c.Owners(node); n != 1 {
			t.Errorf("node %d has %d owners", node, n)
		}
	}
}

// eventuallyOneOwner is expectOneOwner for a moment in which a task may be changing hands, which is over within 3 s.
func eventuallyOneOwner(t *testing.T, c *assignmentsim.Cluster, nodes int) {
	t.Helper()
	for node := range nodes {
		for tries := 0; c.Owners(node) != 1; tries++ {
			if tries == 30 {
				t.Errorf("node %d has %d owners for 3 s", node, c.Owners(node))
				break
			}
			c.Run(assignmentsim.Step)
		}
	}
}

// TestOneOwnerRunsEachTask: nothing fails. Each node is probed once an interval, by one instance, and the nodes are divided
// among all of them.
func TestOneOwnerRunsEachTask(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 30)
		c.Run(30 * second)
		expectOneOwner(t, c, 30)
		expectProbedWithin(t, c, 2*second)
		for node := range 30 {
			if n := c.Probes(node); n < 27 || n > 33 {
				t.Errorf("seed %d: node %d was probed %d times in 30 s", seed, node, n)
			}
		}
		for i := range 3 {
			if n := c.Table(i).OwnedTasks(); n < 3 || n > 20 {
				t.Errorf("seed %d: instance %d owns %d of 30", seed, i, n)
			}
		}
	}
}

// TestOwnersDieInTurn: an owner dies, and before the others have noticed, the next one. Then two more die, until one is
// left with all tasks. No node goes unprobed for longer than it takes to notice and claim.
func TestOwnersDieInTurn(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 5, 30)
		c.Kill(int(seed) % 5)
		c.Run(700_000)
		c.Kill(int(seed+1) % 5)
		c.Run(12 * second)
		expectProbedWithin(t, c, 4*second)
		expectOneOwner(t, c, 30)
		c.ResetMeasurements()
		c.Kill(int(seed+2) % 5)
		c.Run(3 * second)
		c.Kill(int(seed+3) % 5)
		c.Run(12 * second)
		expectProbedWithin(t, c, 5*second)
		expectOneOwner(t, c, 30)
	}
}

// TestPartitionAndHeal: the network is parted, and both sides are sure that they own each task. The load of a node stays
// bounded meanwhile; after the network is mended one owner of each task is left.
func TestPartitionAndHeal(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.SetSide(int(seed)%3, 1)
		c.Run(20 * second)
		expectProbedWithin(t, c, 5*second)
		two := 0
		for node := range 20 {
			if c.Owners(node) == 2 {
				two++
			}
		}
		if two != 20 {
			t.Errorf("seed %d: %d of 20 nodes have an owner on each side", seed, two)
		}
		if c.PeakProbes > 4 {
			t.Errorf("seed %d: %d probes of one node in one second", seed, c.PeakProbes)
		}
		c.SetSide(int(seed)%3, 0)
		c.Run(5 * second)
		c.ResetMeasurements()
		c.Run(20 * second)
		expectOneOwner(t, c, 20)
		expectProbedWithin(t, c, 3*second)
		for node := range 20 {
			if n := c.Probes(node); n > 24 {
				t.Errorf("seed %d: node %d was probed %d times in 20 s after the heal", seed, node, n)
			}
		}
	}
}

// TestMuteTowardsAll: what one instance sends reaches nobody, though it hears all. The others take its tasks over while it
// goes on, so nodes are probed up to twice as often, and once the way is mended one owner is left.
func TestMuteTowardsAll(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.CutOneWay(0, 1, true)
		c.CutOneWay(0, 2, true)
		c.Run(20 * second)
		expectProbedWithin(t, c, 4*second)
		for node := range 20 {
			if n := c.Probes(node); n > 50 {
				t.Errorf("seed %d: node %d was probed %d times in 20 s", seed, node, n)
			}
		}
		c.CutOneWay(0, 1, false)
		c.CutOneWay(0, 2, false)
		c.Run(40 * second)
		expectOneOwner(t, c, 20)
	}
}

// TestOneLinkCutOneWay: the way from one instance to another is cut, but not the one back. Updates and heartbeats go over
// the third, and nothing changes hands.
func TestOneLinkCutOneWay(t *testing.T) {
	c := settledCluster(3, 3, 20)
	c.CutOneWay(0, 1, true)
	c.Run(20 * second)
	expectProbedWithin(t, c, 2*second)
	expectOneOwner(t, c, 20)
}

// TestPausedInstance: an instance is paused for 10 s, as by SIGSTOP, and goes on with its clock advanced at once. Others
// own its tasks by then; it must not run them beside the new owners, nor believe what lay unread at its socket.
func TestPausedInstance(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.Pause(0)
		c.Run(10 * second)
		expectProbedWithin(t, c, 4*second)
		c.Resume(0)
		c.ResetMeasurements()
		c.Run(500_000)
		if n := c.Table(0).OwnedTasks(); n != 0 {
			t.Errorf("seed %d: it still owns %d tasks that others took over", seed, n)
		}
		c.Run(20 * second)
		expectProbedWithin(t, c, 3*second)
		expectOneOwner(t, c, 20)
		if c.PeakProbes > 3 {
			t.Errorf("seed %d: %d probes of one node in one second", seed, c.PeakProbes)
		}
	}
}

// TestAliveButDeliversNothing: an instance's heartbeats go on, but it runs nothing: its probes do not get out. Its peers go by
// what it delivers, take its tasks over, and give them back when it is well again.
func TestAliveButDeliversNothing(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.Mute(1, true)
		c.Run(30 * second)
		expectProbedWithin(t, c, 4*second)
		c.Mute(1, false)
		c.Run(60 * second)
		c.ResetMeasurements()
		c.Run(10 * second)
		expectOneOwner(t, c, 20)
		expectProbedWithin(t, c, 2*second)
	}
}

// TestOwnerCutFromOneNode: an owner alone cannot reach a node that is well. Another instance, asked for a second opinion,
// can, and owns the task from then on.
func TestOwnerCutFromOneNode(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		for i := range 3 {
			if c.Table(i).Owns(c.TaskKey(4)) {
				c.CutFromNode(i, 4, true)
				c.Run(8 * second)
				if c.Table(i).Owns(c.TaskKey(4)) {
					t.Errorf("seed %d: instance %d keeps what it can't reach", seed, i)
				}
				if n := c.Owners(4); n != 1 {
					t.Errorf("seed %d: %d owners", seed, n)
				}
				expectProbedWithin(t, c, 3*second)
				break
			}
		}
	}
}

// TestDeadNode: no instance reaches a node. Its owner goes on probing it, and second opinions stay few.
func TestDeadNode(t *testing.T) {
	c := settledCluster(5, 3, 20)
	c.SetNodeDead(7, true)
	c.Run(50 * second)
	if n := c.Probes(7); n < 45 || n > 75 {
		t.Errorf("a dead node was probed %d times in 50 s", n)
	}
}

// TestAllStartAtOnce: all instances are killed and started again together, knowing nothing. No node is probed in a burst, and
// each is probed soon.
func TestAllStartAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		c := settledCluster(seed, 30, 50)
		for i := range 30 {
			c.Kill(i)
		}
		c.Run(5 * second)
		for i := range 30 {
			c.Start(i)
		}
		c.ResetMeasurements()
		c.Run(20 * second)
		if c.PeakProbes > 5 {
			t.Errorf("seed %d: %d probes of one node in one second", seed, c.PeakProbes)
		}
		expectProbedWithin(t, c, 5*second)
		expectOneOwner(t, c, 50)
	}
}

// TestRestartIsUsefulSoon: an instance that starts anew knows of every node within one interval.
func TestRestartIsUsefulSoon(t *testing.T) {
	c := settledCluster(9, 3, 20)
	c.Kill(2)
	c.Run(8 * second)
	c.Start(2)
	c.Run(second)
	for node := range 20 {
		if _, _, age := c.Table(2).Owner(c.InstanceTime(2), c.TaskKey(node)); age < 0 || age > 2*second {
			t.Errorf("node %d: its newest word is %d us old", node, age)
		}
	}
}

// TestClocksDiffer: the instances' clocks differ by hours. Ages travel, times never do, so nothing depends on it.
func TestClocksDiffer(t *testing.T) {
	c := assignmentsim.New(4, 3, 20, second, 4, 50)
	c.SetClock(0, 3600*second)
	c.SetClock(1, 7200*second)
	c.Run(10 * second)
	c.ResetMeasurements()
	c.Run(20 * second)
	expectOneOwner(t, c, 20)
	expectProbedWithin(t, c, 2*second)
	c.Kill(0)
	c.Run(10 * second)
	expectProbedWithin(t, c, 4*second)
	expectOneOwner(t, c, 20)
}

// TestLossyNetwork: a fifth of the updates is lost, a third comes twice, all of them late and out of order. Nodes are probed
// in time though tasks change hands without cause; when the network is well again each has one owner.
func TestLossyNetwork(t *testing.T) {
	for seed := range uint64(10) {
		c := assignmentsim.New(seed, 5, 30, second, 4, 50)
		c.Loss, c.Duplication, c.MaxDelay = 0.2, 0.3, 1_500_000
		c.Run(20 * second)
		c.ResetMeasurements()
		c.Run(40 * second)
		expectProbedWithin(t, c, 5*second)
		for node := range 30 {
			if n := c.Probes(node); n > 100 { // half of what five that share nothing would
				t.Errorf("seed %d: node %d was probed %d times in 40 s", seed, node, n)
			}
		}
		c.Loss, c.Duplication, c.MaxDelay = 0, 0, 600_000
		c.Run(60 * second)
		eventuallyOneOwner(t, c, 30)
	}
}

// TestInstanceComesAndGoes: an instance crashes and restarts again and again. Each time that it takes its tasks back they
// go unprobed at its next crash, so it waits longer the more often it came back.
func TestInstanceComesAndGoes(t *testing.T) {
	c := settledCluster(6, 5, 100)
	for range 8 {
		c.Kill(0)
		c.Run(5 * second)
		c.Start(0)
		c.Run(6 * second)
	}
	expectProbedWithin(t, c, 4*second)
	if n := c.Table(0).OwnedTasks(); n > 5 {
		t.Errorf("it owns %d of 100 tasks, 6 s after its eighth return", n)
	}
	c.Run(60 * second)
	expectOneOwner(t, c, 100)
	if n := c.Table(0).OwnedTasks(); n < 10 {
		t.Errorf("it owns %d of 100 tasks, a minute after", n)
	}
}

// TestNodeReplaced: another process stands behind a node's name. Its task goes on, with one owner.
func TestNodeReplaced(t *testing.T) {
	c := settledCluster(8, 3, 10)
	c.ReplaceNode(3)
	c.Run(5 * second)
	expectProbedWithin(t, c, 2*second)
	expectOneOwner(t, c, 10)
}

// TestSameSeedSameRun guards the simulation itself: what it shows must be repeatable.
func TestSameSeedSameRun(t *testing.T) {
	trace := func() (log []int64) {
		c := assignmentsim.New(11, 4, 10, second, 4, 50)
		c.Loss, c.Duplication = 0.1, 0.1
		c.OnProbe = func(at int64, instance, node int) { log = append(log, at, int64(instance), int64(node)) }
		c.Run(5 * second)
		c.Kill(2)
		c.Run(10 * second)
		return log
	}
	a, b := trace(), trace()
	if len(a) != len(b) || len(a) == 0 {
		t.Fatalf("%d and %d", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("they part at %d", i)
		}
	}
}
