package assignment_test

import (
	"testing"

	"cairntiller/internal/simulation/assignmentsim"
)

const second = 1_000_000

// settledCluster starts instances and nodes, runs them for 10 s and resets the measurements.
func settledCluster(seed uint64, n, nodes int) *assignmentsim.Cluster {
	c := assignmentsim.New(seed, n, nodes, second, 4, 50)
	c.Run(10 * second)
	c.ResetMeasurements()
	return c
}

// expectProbedWithin fails the test if a node went unprobed for longer than limit (us).
func expectProbedWithin(t *testing.T, c *assignmentsim.Cluster, limit int64) {
	t.Helper()
	if got, node := c.LongestUnprobed(); got > limit {
		t.Errorf("node %d went unprobed for %.1f s, limit %.1f", node, float64(got)/second, float64(limit)/second)
	}
}

// expectOneOwner fails the test unless each node's task has exactly one owner.
func expectOneOwner(t *testing.T, c *assignmentsim.Cluster, nodes int) {
	t.Helper()
	for node := range nodes {
		if n := c.Owners(node); n != 1 {
			t.Errorf("node %d has %d owners", node, n)
		}
	}
}

// eventuallyOneOwner is expectOneOwner with up to 3 s of retries, for tests in which a task may be changing owners.
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

// Without faults, one instance probes each node once per interval, and the nodes are divided among all instances.
func TestOneOwnerRunsEachTask(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 30)
		c.Run(30 * second)
		expectOneOwner(t, c, 30)
		expectProbedWithin(t, c, 2*second)
		for node := range 30 {
			if n := c.Probes(node); n < 27 || n > 33 {
				t.Errorf("seed %d: node %d was probed %d times in 30 s, want 27 to 33", seed, node, n)
			}
		}
		for i := range 3 {
			if n := c.Table(i).OwnedTasks(); n < 3 || n > 20 {
				t.Errorf("seed %d: instance %d owns %d of 30 tasks, want 3 to 20", seed, i, n)
			}
		}
	}
}

// An owner fails, and a second one before the first failure is detected. Then two more fail, until one instance owns
// all tasks. No node may go unprobed for longer than detection and claims take.
func TestSuccessiveOwnerFailures(t *testing.T) {
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

// The network is partitioned, and instances on both sides own every task. The load of each node stays bounded
// meanwhile; after the partition heals each task has one owner.
func TestPartitionAndHeal(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.SetPartition(int(seed)%3, 1)
		c.Run(20 * second)
		expectProbedWithin(t, c, 5*second)
		two := 0
		for node := range 20 {
			if c.Owners(node) == 2 {
				two++
			}
		}
		if two != 20 {
			t.Errorf("seed %d: %d of 20 nodes have an owner on each side, want all", seed, two)
		}
		if c.PeakProbes > 4 {
			t.Errorf("seed %d: %d probes of one node in one second, want at most 4", seed, c.PeakProbes)
		}
		c.SetPartition(int(seed)%3, 0)
		c.Run(5 * second)
		c.ResetMeasurements()
		c.Run(20 * second)
		expectOneOwner(t, c, 20)
		expectProbedWithin(t, c, 3*second)
		for node := range 20 {
			if n := c.Probes(node); n > 24 {
				t.Errorf("seed %d: node %d was probed %d times in 20 s after the partition healed, want at most 24", seed, node, n)
			}
		}
	}
}

// All outbound messages of one instance are lost, while inbound ones arrive. The others take its tasks over while it
// continues to run them, so nodes are probed up to twice as often; after recovery each task has one owner.
func TestOutboundMessagesLost(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.CutLink(0, 1, true)
		c.CutLink(0, 2, true)
		c.Run(20 * second)
		expectProbedWithin(t, c, 4*second)
		for node := range 20 {
			if n := c.Probes(node); n > 50 {
				t.Errorf("seed %d: node %d was probed %d times in 20 s, want at most 50", seed, node, n)
			}
		}
		c.CutLink(0, 1, false)
		c.CutLink(0, 2, false)
		c.Run(40 * second)
		expectOneOwner(t, c, 20)
	}
}

// Messages from one instance to another are lost, but not in the opposite direction. Updates and heartbeats are relayed
// by the third instance, and no task changes its owner.
func TestOneWayLinkFailure(t *testing.T) {
	c := settledCluster(3, 3, 20)
	c.CutLink(0, 1, true)
	c.Run(20 * second)
	expectProbedWithin(t, c, 2*second)
	expectOneOwner(t, c, 20)
}

// An instance is paused for 10 s, as by SIGSTOP, and its clock then jumps ahead. Other instances own its tasks by then;
// it must not run them concurrently with the new owners, nor treat the updates queued at its socket as current.
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
			t.Errorf("seed %d: the resumed instance still owns %d tasks that others took over", seed, n)
		}
		c.Run(20 * second)
		expectProbedWithin(t, c, 3*second)
		expectOneOwner(t, c, 20)
		if c.PeakProbes > 3 {
			t.Errorf("seed %d: %d probes of one node in one second, want at most 3", seed, c.PeakProbes)
		}
	}
}

// An instance sends heartbeats but its probes are not sent. The other instances rely on its updates rather than on
// its heartbeats, take its tasks over, and hand them back once it has recovered.
func TestAliveOwnerWithoutUpdates(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		c.SuspendTasks(1, true)
		c.Run(30 * second)
		expectProbedWithin(t, c, 4*second)
		c.SuspendTasks(1, false)
		c.Run(60 * second)
		c.ResetMeasurements()
		c.Run(10 * second)
		expectOneOwner(t, c, 20)
		expectProbedWithin(t, c, 2*second)
	}
}

// Only the owner of a task cannot reach a healthy node. Another instance reaches it with a second opinion and becomes
// the owner.
func TestOwnerCannotReachOneNode(t *testing.T) {
	for seed := range uint64(20) {
		c := settledCluster(seed, 3, 20)
		for i := range 3 {
			if c.Table(i).Owns(c.TaskKey(4)) {
				c.CutNodeLink(i, 4, true)
				c.Run(8 * second)
				if c.Table(i).Owns(c.TaskKey(4)) {
					t.Errorf("seed %d: instance %d still owns the task of a node that it cannot reach", seed, i)
				}
				if n := c.Owners(4); n != 1 {
					t.Errorf("seed %d: node 4 has %d owners, want 1", seed, n)
				}
				expectProbedWithin(t, c, 3*second)
				break
			}
		}
	}
}

// No instance reaches a node. Its owner keeps probing it, and second opinions remain rare.
func TestDeadNode(t *testing.T) {
	c := settledCluster(5, 3, 20)
	c.SetNodeDead(7, true)
	c.Run(50 * second)
	if n := c.Probes(7); n < 45 || n > 75 {
		t.Errorf("a dead node was probed %d times in 50 s, want 45 to 75", n)
	}
}

// All instances are killed and restarted together, without any state. No node is probed in a burst, and each is probed
// soon.
func TestSimultaneousRestart(t *testing.T) {
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
			t.Errorf("seed %d: %d probes of one node in one second, want at most 5", seed, c.PeakProbes)
		}
		expectProbedWithin(t, c, 5*second)
		expectOneOwner(t, c, 50)
	}
}

// A restarted instance has an update of every node within one interval.
func TestRestartedInstanceLearnsAllNodes(t *testing.T) {
	c := settledCluster(9, 3, 20)
	c.Kill(2)
	c.Run(8 * second)
	c.Start(2)
	c.Run(second)
	for node := range 20 {
		if _, _, age := c.Table(2).Owner(c.InstanceTime(2), c.TaskKey(node)); age < 0 || age > 2*second {
			t.Errorf("node %d: its newest update is %d us old, want at most 2 s", node, age)
		}
	}
}

// The clocks of the instances differ by hours. Messages carry ages and never absolute times, so this has no effect.
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

// A fifth of the updates is lost, a third arrives twice, and all arrive late and out of order. Nodes are probed in time
// although tasks change owners without cause; after the network recovers each task has one owner.
func TestLossyNetwork(t *testing.T) {
	for seed := range uint64(10) {
		c := assignmentsim.New(seed, 5, 30, second, 4, 50)
		c.Loss, c.Duplication, c.MaxDelay = 0.2, 0.3, 1_500_000
		c.Run(20 * second)
		c.ResetMeasurements()
		c.Run(40 * second)
		expectProbedWithin(t, c, 5*second)
		for node := range 30 {
			if n := c.Probes(node); n > 100 { // half of the total of five independent instances
				t.Errorf("seed %d: node %d was probed %d times in 40 s, want at most 100", seed, node, n)
			}
		}
		c.Loss, c.Duplication, c.MaxDelay = 0, 0, 600_000
		c.Run(60 * second)
		eventuallyOneOwner(t, c, 30)
	}
}

// An instance crashes and restarts repeatedly. Each time it reclaims its tasks they go unprobed after its next crash,
// so its wait before claiming grows with each rejoin.
func TestRepeatedRestartsDelayClaims(t *testing.T) {
	c := settledCluster(6, 5, 100)
	for range 8 {
		c.Kill(0)
		c.Run(5 * second)
		c.Start(0)
		c.Run(6 * second)
	}
	expectProbedWithin(t, c, 4*second)
	if n := c.Table(0).OwnedTasks(); n > 5 {
		t.Errorf("the instance owns %d of 100 tasks 6 s after its eighth restart, want at most 5", n)
	}
	c.Run(60 * second)
	expectOneOwner(t, c, 100)
	if n := c.Table(0).OwnedTasks(); n < 10 {
		t.Errorf("the instance owns %d of 100 tasks a minute later, want at least 10", n)
	}
}

// A node's process is replaced under the same name. Its task continues, with one owner.
func TestNodeReplaced(t *testing.T) {
	c := settledCluster(8, 3, 10)
	c.ReplaceNode(3)
	c.Run(5 * second)
	expectProbedWithin(t, c, 2*second)
	expectOneOwner(t, c, 10)
}

// Runs of the simulation with the same seed must be identical, so that failures are reproducible.
func TestSimulationIsDeterministic(t *testing.T) {
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
		t.Fatalf("the runs have %d and %d entries, want equal and more than 0", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("the runs differ from entry %d on", i)
		}
	}
}
