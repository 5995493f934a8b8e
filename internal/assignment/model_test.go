package assignment

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// model is a reference implementation of a table's rules: it uses maps and recomputes every result from its full state.
type model struct {
	t              *rapid.T
	self           string
	now            int64
	tickedAt       int64
	peerChecksFrom int64 // when overdue checks of peers resume after a stall of this instance
	members        map[string]*modelMember
	tasks          map[string]*modelTask
	interval       int64
}

// modelMember is the model's state of a member.
type modelMember struct {
	weight      float64
	incarnation uint64
	alive       bool
}

// modelTask is the model's state of a task.
type modelTask struct {
	nodeStarted, learnedAt int64
	hasUpdate              bool
	owner                  string
	term                   uint64
}

func (m *model) score(member, key string) float64 {
	u := (float64(mixHashes(xxhash.Sum64String(key), xxhash.Sum64String(member))>>11) + 0.5) / (1 << 53)
	return -m.members[member].weight / math.Log(u)
}

// target returns the live member with the highest score, or the smaller name between equal scores.
func (m *model) target(key string, slow map[string]bool) string {
	best := ""
	for name, candidate := range m.members {
		if !candidate.alive || slow[name] {
			continue
		}
		if best == "" || m.score(name, key) > m.score(best, key) ||
			m.score(name, key) == m.score(best, key) && name < best {
			best = name
		}
	}
	return best
}

// greater reports whether a claim is greater than the one that the model has accepted.
func (m *model) greater(key string, term uint64, claimant string) bool {
	task := m.tasks[key]
	switch {
	case term != task.term:
		return term > task.term
	case task.owner == "":
		return true
	case m.score(claimant, key) != m.score(task.owner, key):
		return m.score(claimant, key) > m.score(task.owner, key)
	}
	return claimant < task.owner
}

// handleUpdate returns the expected evidence of an update, and whether any of it may be used.
func (m *model) handleUpdate(update Update) (want Evidence, usable bool) {
	task := m.tasks[update.Key]
	if task == nil || update.Age < 0 {
		return Evidence{}, false
	}
	if update.Owner == m.self {
		task.term = max(task.term, update.Term)
		return Evidence{}, false
	}
	at := m.now - update.Age
	newest := !task.hasUpdate || at >= task.learnedAt
	if newest {
		task.learnedAt, task.hasUpdate = at, true
	}
	if sender := m.members[update.Owner]; sender == nil || !sender.alive {
		task.term = max(task.term, update.Term)
	} else if update.Term > 0 && m.greater(update.Key, update.Term, update.Owner) {
		task.term, task.owner = update.Term, update.Owner
	}
	if update.NodeStarted != task.nodeStarted {
		return Evidence{}, false
	}
	want = Evidence{LearnedAt: at, Position: update.Position}
	if newest && update.Age <= 2_000_000 {
		want.PrimaryHint = update.PrimaryHint
	}
	if newest && update.Age <= m.interval*5/2 {
		want.Unresponsive, want.Responsive = update.Unresponsive, !update.Unresponsive
	}
	return want, true
}

// compare checks the table's state against the model's.
func (m *model) compare(tab *Table) {
	slow := map[string]bool{}
	for name, member := range tab.memberByName {
		slow[name] = m.now < member.slowUntil
	}
	for key, task := range m.tasks {
		owner, term, age := tab.Owner(m.now, key)
		if owner != task.owner || term != task.term {
			m.t.Fatalf("%s: owner %q in term %d, want %q in term %d", key, owner, term, task.owner, task.term)
		}
		if task.hasUpdate && age != m.now-task.learnedAt {
			m.t.Fatalf("%s: its newest update is %d us old, want %d", key, age, m.now-task.learnedAt)
		}
		if want := m.target(key, slow); !tab.targetsStale && tab.taskByKey[key].target.name != want {
			m.t.Fatalf("%s: its target is %s, want %s", key, tab.taskByKey[key].target.name, want)
		}
	}
	owned := map[string]int{}
	for _, task := range m.tasks {
		owned[task.owner]++
	}
	for name, member := range tab.memberByName {
		if member.owned != owned[name] {
			m.t.Fatalf("%s owns %d tasks, want %d", name, member.owned, owned[name])
		}
	}
}

// tick runs Tick on the table and checks that each claim has a valid reason.
func (m *model) tick(tab *Table) {
	if m.now-m.tickedAt > stallThreshold {
		m.peerChecksFrom = m.now + backlogDrainTime
		m.pause(tab)
	}
	runs := tab.Tick(m.now, nil)
	m.tickedAt = m.now
	slow := map[string]bool{}
	for name, member := range tab.memberByName {
		slow[name] = m.now < member.slowUntil
	}
	claims := 0
	for key, task := range m.tasks {
		owner, term, _ := tab.Owner(m.now, key)
		if owner == task.owner && term == task.term {
			continue
		}
		claims++
		late := m.now-max(task.learnedAt, m.peerChecksFrom) >= int64(overdueIntervals*float64(tab.Interval()))
		if owner != m.self || term != task.term+1 || !late && (m.target(key, slow) != m.self || !tab.ClaimsTasks()) {
			m.t.Fatalf("%s: unexpected claim by %q in term %d after %+v, overdue %v", key, owner, term, task, late)
		}
		task.owner, task.term = owner, term
	}
	if claims > 5 {
		m.t.Fatalf("%d tasks claimed in one tick, want at most 5", claims)
	}
	seen := map[string]bool{}
	for _, r := range runs {
		if seen[r.Key] || m.tasks[r.Key] == nil || !r.SecondOpinion && m.tasks[r.Key].owner != m.self {
			m.t.Fatalf("unexpected run %+v of a task owned by %q", r, m.tasks[r.Key].owner)
		}
		seen[r.Key] = true
	}
	m.compare(tab)
}

// pause models a pause of this instance: if it was long enough for its tasks to become overdue, the instance releases
// them.
func (m *model) pause(tab *Table) {
	if m.now-m.tickedAt < tab.overdueAfter() {
		return
	}
	for _, task := range m.tasks {
		task.learnedAt = max(task.learnedAt, m.now-tab.Interval()/2)
		if task.owner == m.self {
			task.owner = ""
		}
	}
}

// checkTableAgainstModel applies the same generated inputs to a table and to the model.
func checkTableAgainstModel(t *rapid.T) {
	const interval = 1_000_000
	m := &model{t: t, self: "r0", now: 5_000_000, tickedAt: 5_000_000, interval: interval,
		members: map[string]*modelMember{"r0": {weight: 1, incarnation: 1, alive: true}}, tasks: map[string]*modelTask{}}
	// With an unlimited run rate the interval stays as configured.
	table := New(m.now, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: interval, Instances: 1, MaxRunRate: 1e9, ClaimRate: 5})
	member := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "member")) })
	key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("probe/s-", rapid.IntRange(0, 9).Draw(t, "box")) })
	// rapid selects actions by the order of their names: renaming one changes the inputs of a stored seed.
	t.Repeat(map[string]func(*rapid.T){
		"up": func(t *rapid.T) {
			name, weight, incarnation := member.Draw(t, "name"), rapid.Float64Range(0.5, 2).Draw(t, "weight"), rapid.Uint64Range(1, 4).Draw(t, "born")
			table.MemberUp(m.now, name, weight, incarnation)
			if known := m.members[name]; name != m.self && (known == nil || incarnation >= known.incarnation) {
				m.members[name] = &modelMember{weight, incarnation, true}
			}
		},
		"down": func(t *rapid.T) {
			name, incarnation := member.Draw(t, "name"), rapid.Uint64Range(1, 4).Draw(t, "born")
			table.MemberDown(m.now, name, incarnation, rapid.Bool().Draw(t, "left"))
			if known := m.members[name]; known != nil && name != m.self && incarnation >= known.incarnation {
				known.alive = false
			}
		},
		"add": func(t *rapid.T) {
			taskKey, started := key.Draw(t, "key"), rapid.Int64Range(0, 2).Draw(t, "started")
			table.AddTask(m.now, taskKey, started)
			if task := m.tasks[taskKey]; task != nil {
				task.nodeStarted = started
			} else {
				m.tasks[taskKey] = &modelTask{nodeStarted: started, learnedAt: m.now}
			}
		},
		"drop": func(t *rapid.T) {
			taskKey := key.Draw(t, "key")
			table.RemoveTask(taskKey)
			delete(m.tasks, taskKey)
		},
		"hear": func(t *rapid.T) {
			update := Update{Key: key.Draw(t, "key"), Owner: member.Draw(t, "holder"), Term: rapid.Uint64Range(0, 9).Draw(t, "term"),
				Age: rapid.Int64Range(-1, 6_000_000).Draw(t, "age"), NodeStarted: rapid.Int64Range(0, 2).Draw(t, "started"),
				Unresponsive: rapid.Bool().Draw(t, "silent"), Position: rapid.Int64Range(0, 9).Draw(t, "pos"),
				PrimaryHint: rapid.SampledFrom([]int8{-1, 0, 1}).Draw(t, "lead")}
			want, usable := m.handleUpdate(update)
			if got := table.HandleUpdate(m.now, update); usable && got != want || !usable && (got.Position != 0 || got.PrimaryHint != 0 || got.Unresponsive || got.Responsive) {
				t.Fatalf("evidence of %+v is %+v, want %+v", update, got, want)
			}
		},
		"done": func(t *rapid.T) {
			taskKey, unresponsive, secondOpinion := key.Draw(t, "key"), rapid.Bool().Draw(t, "silent"), rapid.Bool().Draw(t, "check")
			update := table.RecordRun(m.now, Update{Key: taskKey, Unresponsive: unresponsive}, secondOpinion)
			task := m.tasks[taskKey]
			if task == nil {
				return
			}
			task.learnedAt, task.hasUpdate = m.now, true
			if task.owner != m.self && secondOpinion && !unresponsive {
				task.owner, task.term = m.self, task.term+1
			}
			if want := task.term; update.Owner != m.self || update.NodeStarted != task.nodeStarted || task.owner == m.self && update.Term != want ||
				task.owner != m.self && update.Term != 0 {
				t.Fatalf("unexpected update %+v from a run of %+v", update, task)
			}
		},
		"time": func(t *rapid.T) {
			m.now += rapid.Int64Range(1, 900_000).Draw(t, "us")
			m.tick(table)
		},
		"standstill": func(t *rapid.T) {
			m.now += rapid.Int64Range(1_100_000, 12_000_000).Draw(t, "us")
			m.tick(table)
			// Updates read until backlogUntil count as older by the duration of the pause, which the model does not
			// cover.
			for m.now < table.pauses.backlogUntil {
				m.now += 400_000
				m.tick(table)
			}
		},
	})
}

// TestModel compares the table with the model on generated inputs.
func TestModel(t *testing.T) { rapid.Check(t, checkTableAgainstModel) }

// FuzzModel does the same on inputs from the fuzzer.
func FuzzModel(f *testing.F) {
	f.Add([]byte("a table of duties, and whoever holds them"))
	f.Add(make([]byte, 4096))
	f.Fuzz(rapid.MakeFuzz(checkTableAgainstModel))
}

// An instance is paused for 10 s and then reads an update that was queued at its socket all that time, with the age
// that it had on arrival. The update must count as old as it may be: its position is used, its role hint is not.
func TestBacklogUpdateCountsAsOld(t *testing.T) {
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 3, MaxRunRate: 4, ClaimRate: 50})
	tab.AddTask(0, "probe/a", 7)
	tab.MemberUp(0, "r1", 1, 1)
	tab.Tick(100_000, nil)
	u := tab.HandleUpdate(10_100_000, Update{Key: "probe/a", Owner: "r1", Term: 1, Age: 50_000, NodeStarted: 7, Position: 9, PrimaryHint: 1})
	if u.LearnedAt != 50_000 || u.Position != 9 || u.PrimaryHint != 0 || u.Responsive {
		t.Errorf("evidence %+v, want only the position 9, learned at 50000", u)
	}
}

// A member of twice the weight is the target of twice as many tasks.
func TestWeightsDivideTasks(t *testing.T) {
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 3, MaxRunRate: 4, ClaimRate: 1e9})
	tab.MemberUp(0, "r1", 2, 1)
	tab.MemberUp(0, "r2", 1, 1)
	for i := range 4000 {
		tab.AddTask(0, fmt.Sprint("probe/", i), 0)
	}
	tab.Tick(startupListenTime, nil)
	tab.Tick(startupListenTime+100_000, nil)
	if n := tab.OwnedTasks(); n < 900 || n > 1100 {
		t.Errorf("%d of 4000 tasks owned with a quarter of the total weight", n)
	}
}

// A member fails and returns. Only its own tasks move, and the same ones move back.
func TestOnlyLostMembersTasksMove(t *testing.T) {
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 3, MaxRunRate: 4, ClaimRate: 1e9})
	for i := 1; i < 10; i++ {
		tab.MemberUp(0, fmt.Sprint("r", i), 1, 1)
	}
	for i := range 1000 {
		tab.AddTask(0, fmt.Sprint("probe/", i), 0)
	}
	tab.Tick(100_000, nil)
	own := int64(0)
	for _, task := range tab.tasks {
		if task.target.name == "r4" {
			own++
		}
	}
	before := tab.Stats(0).TargetChanges
	tab.MemberDown(200_000, "r4", 1, false)
	tab.Tick(200_000, nil)
	if n := tab.Stats(0).TargetChanges; n-before != own || own == 0 {
		t.Errorf("%d target changes for %d tasks of the lost member", n-before, own)
	}
	tab.MemberUp(300_000, "r4", 1, 2)
	tab.Tick(300_000, nil)
	if n := tab.Stats(0).TargetChanges; n-before != 2*own {
		t.Errorf("%d target changes after loss and return, for %d tasks", n-before, own)
	}
}

// Hundreds of members join and leave between ticks, and over hours. No task may change its target, and members that
// have been down for long are forgotten.
func TestMembershipChurnBetweenTicks(t *testing.T) {
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 3, MaxRunRate: 4, ClaimRate: 50})
	for i := range 1000 {
		tab.AddTask(0, fmt.Sprint("probe/", i), 0)
	}
	tab.MemberUp(0, "r1", 1, 1)
	now := int64(100_000)
	tab.Tick(now, nil)
	targetsBefore := map[string]*member{}
	for key, task := range tab.taskByKey {
		targetsBefore[key] = task.target
	}
	moved := tab.Stats(now).TargetChanges
	for round := range 20 {
		for i := range 500 {
			tab.MemberUp(now, fmt.Sprint("flood", i), 1, uint64(round)+1)
			tab.MemberDown(now, fmt.Sprint("flood", i), uint64(round)+1, true)
		}
		now += 100_000
		tab.Tick(now, nil)
	}
	if stats := tab.Stats(now); stats.TargetChanges != moved || stats.LiveMembers != 2 {
		t.Errorf("%d target changes, want 0; %d live members, want 2", stats.TargetChanges-moved, stats.LiveMembers)
	}
	if len(tab.taskByKey) != len(targetsBefore) {
		t.Fatalf("%d tasks, want %d", len(tab.taskByKey), len(targetsBefore))
	}
	for key, task := range tab.taskByKey {
		if task.target != targetsBefore[key] {
			t.Fatalf("task %s changed its target", key)
		}
	}
	now += memberRetention
	tab.MemberUp(now, "r1", 2, 1)
	tab.Tick(now, nil)
	for round := range 10 {
		now += memberRetention + 1
		for i := range 100 {
			name := fmt.Sprint("later", round, "-", i)
			tab.MemberUp(now, name, 1, 1)
			tab.MemberDown(now, name, 1, false)
		}
		tab.Tick(now, nil)
	}
	if n := len(tab.members); n > 800 {
		t.Errorf("%d members are remembered, want at most 800", n)
	}
}

// For any network partition, all sides together stay within the run rate limit of a node.
func TestPartitionsKeepRunRate(t *testing.T) {
	for _, parts := range [][]int{{3}, {2, 1}, {1, 1, 1}, {100, 200}, {1, 1, 298}, {150, 75, 75}} {
		instances, load := 0, 0.0
		for _, k := range parts {
			instances += k
		}
		for _, k := range parts {
			tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 1, MaxRunRate: 4, ClaimRate: 50})
			for i := 1; i < instances; i++ {
				tab.MemberUp(0, fmt.Sprint("r", i), 1, 1)
			}
			for i := k; i < instances; i++ {
				tab.MemberDown(0, fmt.Sprint("r", i), 1, false)
			}
			load += 1e6 / float64(tab.Interval())
		}
		if load > 4.001 {
			t.Errorf("partition %v: %.1f runs a second, want at most 4", parts, load)
		}
	}
}
