package assignment_test

import (
	"testing"

	"cairntiller/internal/simulation/assignmentsim"
)

const second = 1_000_000

// calm makes three instances and ten boxes that have come to rest.
func calm(seed uint64, n, boxes int) *assignmentsim.Cluster {
	w := assignmentsim.New(seed, n, boxes, second, 4, 50)
	w.Run(10 * second)
	w.Mark()
	return w
}

// within fails where a box went unprobed for longer than a limit.
func within(t *testing.T, w *assignmentsim.Cluster, limit int64) {
	t.Helper()
	if got, box := w.Longest(); got > limit {
		t.Errorf("box %d went unprobed for %.1f s, limit %.1f", box, float64(got)/second, float64(limit)/second)
	}
}

// single fails where a box has no owner, or more than one.
func single(t *testing.T, w *assignmentsim.Cluster, boxes int) {
	t.Helper()
	for b := range boxes {
		if n := w.Owners(b); n != 1 {
			t.Errorf("box %d has %d owners", b, n)
		}
	}
}

// settles is single for a moment in which a duty may be changing hands, which is over within 3 s.
func settles(t *testing.T, w *assignmentsim.Cluster, boxes int) {
	t.Helper()
	for b := range boxes {
		for tries := 0; w.Owners(b) != 1; tries++ {
			if tries == 30 {
				t.Errorf("box %d has %d owners for 3 s", b, w.Owners(b))
				break
			}
			w.Run(assignmentsim.Step)
		}
	}
}

// TestCalm: each box is probed once an interval by one instance, and the boxes are divided.
func TestCalm(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 30)
		w.Run(30 * second)
		single(t, w, 30)
		within(t, w, 2*second)
		for b := range 30 {
			if n := w.Probes(b); n < 27 || n > 33 {
				t.Errorf("seed %d: box %d was probed %d times in 30 s", seed, b, n)
			}
		}
		for i := range 3 {
			if n := w.Table(i).OwnedTasks(); n < 3 || n > 20 {
				t.Errorf("seed %d: instance %d holds %d of 30", seed, i, n)
			}
		}
	}
}

// TestDeaths: the owner dies, its successor within a second, then all but one.
func TestDeaths(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 5, 30)
		w.Kill(int(seed) % 5)
		w.Run(700_000)
		w.Kill(int(seed+1) % 5)
		w.Run(12 * second)
		within(t, w, 4*second)
		single(t, w, 30)
		w.Mark()
		w.Kill(int(seed+2) % 5)
		w.Run(3 * second)
		w.Kill(int(seed+3) % 5)
		w.Run(12 * second)
		within(t, w, 5*second)
		single(t, w, 30)
	}
}

// TestPartitionAndHeal: both sides are sure that they own a duty; load stays bounded, and after the heal one does.
func TestPartitionAndHeal(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 20)
		w.Side(int(seed)%3, 1)
		w.Run(20 * second)
		within(t, w, 5*second)
		two := 0
		for b := range 20 {
			if w.Owners(b) == 2 {
				two++
			}
		}
		if two != 20 {
			t.Errorf("seed %d: %d of 20 boxes have an owner on each side", seed, two)
		}
		if w.Peak > 4 {
			t.Errorf("seed %d: %d probes of one box in one second", seed, w.Peak)
		}
		w.Side(int(seed)%3, 0)
		w.Run(5 * second)
		w.Mark()
		w.Run(20 * second)
		single(t, w, 20)
		within(t, w, 3*second)
		for b := range 20 {
			if n := w.Probes(b); n > 24 {
				t.Errorf("seed %d: box %d was probed %d times in 20 s after the heal", seed, b, n)
			}
		}
	}
}

// TestOneWay: what one instance says reaches nobody, though it hears all.
func TestOneWay(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 20)
		w.OneWay(0, 1, true)
		w.OneWay(0, 2, true)
		w.Run(20 * second)
		within(t, w, 4*second)
		for b := range 20 {
			if n := w.Probes(b); n > 50 {
				t.Errorf("seed %d: box %d was probed %d times in 20 s", seed, b, n)
			}
		}
		w.OneWay(0, 1, false)
		w.OneWay(0, 2, false)
		w.Run(40 * second)
		single(t, w, 20)
	}
}

// TestOneLinkOneWay: what one says reaches another over the third.
func TestOneLinkOneWay(t *testing.T) {
	w := calm(3, 3, 20)
	w.OneWay(0, 1, true)
	w.Run(20 * second)
	within(t, w, 2*second)
	single(t, w, 20)
}

// TestStopped: an instance stands still for 10 s and goes on; what it then says and reads is old.
func TestStopped(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 20)
		w.Stop(0)
		w.Run(10 * second)
		within(t, w, 4*second)
		w.Continue(0)
		w.Mark()
		w.Run(500_000)
		if n := w.Table(0).OwnedTasks(); n != 0 {
			t.Errorf("seed %d: it still holds %d duties that others took over", seed, n)
		}
		w.Run(20 * second)
		within(t, w, 3*second)
		single(t, w, 20)
		if w.Peak > 3 {
			t.Errorf("seed %d: %d probes of one box in one second", seed, w.Peak)
		}
	}
}

// TestMute: an instance whose heart beats delivers nothing; its peers go by what it delivers.
func TestMute(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 20)
		w.Mute(1, true)
		w.Run(30 * second)
		within(t, w, 4*second)
		w.Mute(1, false)
		w.Run(60 * second)
		w.Mark()
		w.Run(10 * second)
		single(t, w, 20)
		within(t, w, 2*second)
	}
}

// TestBlind: an owner can't reach one box alone; another one can, and gets it.
func TestBlind(t *testing.T) {
	for seed := range uint64(20) {
		w := calm(seed, 3, 20)
		for i := range 3 {
			if w.Table(i).Owns(w.Key(4)) {
				w.Blind(i, 4, true)
				w.Run(8 * second)
				if w.Table(i).Owns(w.Key(4)) {
					t.Errorf("seed %d: instance %d keeps what it can't reach", seed, i)
				}
				if n := w.Owners(4); n != 1 {
					t.Errorf("seed %d: %d owners", seed, n)
				}
				within(t, w, 3*second)
				break
			}
		}
	}
}

// TestDeadBox: nobody reaches it; second opinions stay few.
func TestDeadBox(t *testing.T) {
	w := calm(5, 3, 20)
	w.Box(7, true)
	w.Run(50 * second)
	if n := w.Probes(7); n < 45 || n > 75 {
		t.Errorf("a dead box was probed %d times in 50 s", n)
	}
}

// TestAllStartAtOnce: no box is probed in a burst, and all are soon.
func TestAllStartAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := calm(seed, 30, 50)
		for i := range 30 {
			w.Kill(i)
		}
		w.Run(5 * second)
		for i := range 30 {
			w.Start(i)
		}
		w.Mark()
		w.Run(20 * second)
		if w.Peak > 5 {
			t.Errorf("seed %d: %d probes of one box in one second", seed, w.Peak)
		}
		within(t, w, 5*second)
		single(t, w, 50)
	}
}

// TestRestartIsUsefulSoon: an instance that starts anew knows of every box within one interval.
func TestRestartIsUsefulSoon(t *testing.T) {
	w := calm(9, 3, 20)
	w.Kill(2)
	w.Run(8 * second)
	w.Start(2)
	w.Run(second)
	for b := range 20 {
		if _, _, age := w.Table(2).Owner(w.At(2), w.Key(b)); age < 0 || age > 2*second {
			t.Errorf("box %d: its newest word is %d us old", b, age)
		}
	}
}

// TestClocksApart: instances' clocks differ by an hour either way.
func TestClocksApart(t *testing.T) {
	w := assignmentsim.New(4, 3, 20, second, 4, 50)
	w.Clock(0, 3600*second)
	w.Clock(1, 7200*second)
	w.Run(10 * second)
	w.Mark()
	w.Run(20 * second)
	single(t, w, 20)
	within(t, w, 2*second)
	w.Kill(0)
	w.Run(10 * second)
	within(t, w, 4*second)
	single(t, w, 20)
}

// TestBadNetwork: messages are lost, doubled and reordered.
func TestBadNetwork(t *testing.T) {
	for seed := range uint64(10) {
		w := assignmentsim.New(seed, 5, 30, second, 4, 50)
		w.Loss, w.Twice, w.Slow = 0.2, 0.3, 1_500_000
		w.Run(20 * second)
		w.Mark()
		w.Run(40 * second)
		within(t, w, 5*second)
		for b := range 30 {
			if n := w.Probes(b); n > 100 { // half of what five that share nothing would
				t.Errorf("seed %d: box %d was probed %d times in 40 s", seed, b, n)
			}
		}
		w.Loss, w.Twice, w.Slow = 0, 0, 600_000
		w.Run(60 * second)
		settles(t, w, 30)
	}
}

// TestFlapping: an instance that comes and goes moves little, the less the more often it does.
func TestFlapping(t *testing.T) {
	w := calm(6, 5, 100)
	for range 8 {
		w.Kill(0)
		w.Run(5 * second)
		w.Start(0)
		w.Run(6 * second)
	}
	within(t, w, 4*second)
	if n := w.Table(0).OwnedTasks(); n > 5 {
		t.Errorf("it holds %d of 100 duties, 6 s after its eighth return", n)
	}
	w.Run(60 * second)
	single(t, w, 100)
	if n := w.Table(0).OwnedTasks(); n < 10 {
		t.Errorf("it holds %d of 100 duties, a minute after", n)
	}
}

// TestReplaced: another process stands behind a box's name; its duty goes on.
func TestReplaced(t *testing.T) {
	w := calm(8, 3, 10)
	w.Replace(3)
	w.Run(5 * second)
	within(t, w, 2*second)
	single(t, w, 10)
}

// TestSameSeedSameRun guards the simulation itself.
func TestSameSeedSameRun(t *testing.T) {
	trace := func() (log []int64) {
		w := assignmentsim.New(11, 4, 10, second, 4, 50)
		w.Loss, w.Twice = 0.1, 0.1
		w.OnProbe(func(at int64, i, box int) { log = append(log, at, int64(i), int64(box)) })
		w.Run(5 * second)
		w.Kill(2)
		w.Run(10 * second)
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
