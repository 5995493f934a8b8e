package assignment

import "github.com/cespare/xxhash/v2"

// Config is what an instance is told at its start.
type Config struct {
	Self        string  // this instance's name
	Weight      float64 // its share of the tasks, relative to the other members' weights
	Incarnation uint64  // number of this process under its name: greater after each start

	Interval  int64 // us between two runs of one task by all instances together; 1 at least
	Instances int   // instances that the operator runs; 1 at least

	// MaxRunRate is how many runs of one task a second all instances together may make, even where they cannot reach one
	// another.
	MaxRunRate float64
	// ClaimRate is how many tasks a second this instance claims at most.
	ClaimRate float64
}

// Update is what one instance learned by running a task.
type Update struct {
	Key          string
	Owner        string // the instance that ran it
	Term         uint64 // the term of its claim; 0 for a second opinion, which claims nothing
	Age          int64  // us since it was learned
	NodeStarted  int64  // which process of the node it is about: the start time in the endpoint list
	Unresponsive bool   // the node did not respond
	Position     int64  // replication position that the node reported, 0 for none
	PrimaryHint  int8   // 1 if the node reported that it is the primary, -1 if not, 0 if it reported neither
	LoadReport   string // the node's own load report, as it came; sent to the other instances, and not read by any
}

// DueRun is a task that this instance has to run now.
type DueRun struct {
	Key           string
	SecondOpinion bool // the run checks another owner's report that the node does not respond
}

// Stats are a table's figures for logs and measurements.
type Stats struct {
	Claims        int64 // claims that this instance made
	TargetChanges int64 // how often the target of a task changed, in this instance's view
	LiveMembers   int   // this instance included
	SlowMembers   int   // live members that count as slow
	SlowFound     int64 // how often this instance took a member to be slow
	Stalls        int64 // how often this instance stood still itself
}

// Table is one instance's view of tasks and members. It is not safe for concurrent use.
type Table struct {
	config Config

	members      []*member // by slot; nil where the slot is free
	freeMembers  []int     // free slots; the one freed last is used first
	memberByName map[string]*member
	self         *member
	targetsStale bool // the set of eligible members may have changed since targets were last chosen

	tasks     []*task // by slot; nil where the slot is free
	freeTasks []int
	taskByKey map[string]*task

	interval    int64 // us between two runs of one task, as extended by updateInterval
	peakMembers int   // greatest number of live members that counts (interval.go)
	peakAt      int64 // until when it is known to have held

	budget   claimBudget
	rejoin   rejoinState
	pauses   pauseDetector
	delay    float64 // us that updates usually take to arrive, estimated near the upper end
	heardNew bool    // an update by another member that was not old has come since the start

	claims        int64
	targetChanges int64
	slowFound     int64
}

// task is one periodic task.
type task struct {
	slot        int
	key         string
	hash        uint64
	nodeStarted int64 // start time of the node's process, from the endpoint list

	target *member // highest score among the eligible members, nil if there is none
	owner  *member // nil if unknown
	term   uint64  // greatest term seen

	learnedAt int64 // when the newest update was learned, by whichever instance; when the task was added before the first
	heard     bool  // there was an update
	nextRun   int64 // when this instance runs it next, if it is the owner

	reclaimAfter     int64 // time before which this instance does not take it back from another owner
	reclaimDoublings uint8 // how often in a row it was taken over from this instance, at most reclaimMaxDoublings

	secondOpinionAt  int64 // when this instance last gave a second opinion
	secondOpinionDue bool
}

// New makes the table of an instance that starts at a time.
func New(now int64, config Config) *Table {
	config.Interval = max(config.Interval, 1)
	config.Instances = max(config.Instances, 1)
	t := &Table{
		config:       config,
		memberByName: map[string]*member{},
		taskByKey:    map[string]*task{},
		targetsStale: true,
		peakAt:       now,
		budget:       claimBudget{tokens: config.ClaimRate * claimBurstSeconds, refilledAt: now},
		rejoin:       rejoinState{claimsFrom: now + startupListen},
		pauses:       pauseDetector{lastSeen: now},
	}
	t.self = t.addMember(config.Self, config.Weight)
	t.self.incarnation = config.Incarnation
	t.self.state = memberAlive
	t.updateInterval(now)
	return t
}

// AddTask adds a task, or notes that its node is now another process, which started at nodeStarted.
func (t *Table) AddTask(now int64, key string, nodeStarted int64) {
	if known := t.taskByKey[key]; known != nil {
		if known.nodeStarted != nodeStarted { // what was learned of the former process no longer counts
			known.nodeStarted = nodeStarted
			known.secondOpinionDue = false
		}
		return
	}
	added := &task{
		key:         key,
		hash:        xxhash.Sum64String(key),
		nodeStarted: nodeStarted,
		learnedAt:   now, // it can be overdue only from here on
		nextRun:     now,
	}
	if last := len(t.freeTasks) - 1; last >= 0 {
		added.slot = t.freeTasks[last]
		t.freeTasks = t.freeTasks[:last]
		t.tasks[added.slot] = added
	} else {
		added.slot = len(t.tasks)
		t.tasks = append(t.tasks, added)
	}
	t.taskByKey[key] = added
	t.chooseTarget(added)
}

// RemoveTask forgets a task.
func (t *Table) RemoveTask(key string) {
	removed := t.taskByKey[key]
	if removed == nil {
		return
	}
	t.setOwner(removed, nil)
	delete(t.taskByKey, key)
	t.tasks[removed.slot] = nil
	t.freeTasks = append(t.freeTasks, removed.slot)
}

// Tick claims what is to be claimed and returns the runs that are due now, in the memory of due. Call it about ten times a
// second. A gap of over pauseThreshold counts as a pause of this instance (pause.go).
func (t *Table) Tick(now int64, due []DueRun) []DueRun {
	due = due[:0]
	t.detectPause(now)
	t.maybeStartClaiming(now)
	t.budget.refill(now, t.config.ClaimRate)
	t.updateSlowMembers(now)
	if t.targetsStale {
		t.updateTargets(now)
	}
	for _, task := range t.tasks {
		if task == nil {
			continue
		}
		if task.owner != t.self && t.budget.available() && t.shouldClaim(task, now) {
			t.budget.take()
			t.claim(task, now)
		}
		switch {
		case task.owner == t.self && now >= task.nextRun:
			task.nextRun = max(task.nextRun+t.interval, now+t.interval/2)
			task.secondOpinionDue = false
			due = append(due, DueRun{Key: task.key})
		case task.secondOpinionDue:
			task.secondOpinionDue = false
			due = append(due, DueRun{Key: task.key, SecondOpinion: true})
		}
	}
	return due
}

// OwnedTasks is how many tasks this instance owns.
func (t *Table) OwnedTasks() int { return t.self.owned }

// TargetedTasks is how many tasks a member is the target of.
func (t *Table) TargetedTasks(name string) int {
	count := 0
	for _, task := range t.tasks {
		if task != nil && task.target != nil && task.target.name == name {
			count++
		}
	}
	return count
}

// Owns reports whether this instance owns a task.
func (t *Table) Owns(key string) bool {
	task := t.taskByKey[key]
	return task != nil && task.owner == t.self
}

// Owner returns a task's owner as far as it is known, the greatest term seen, and the age in us of the newest update; the
// age is -1 if there was none, or if there is no such task.
func (t *Table) Owner(now int64, key string) (name string, term uint64, age int64) {
	task := t.taskByKey[key]
	if task == nil {
		return "", 0, -1
	}
	if task.owner != nil {
		name = task.owner.name
	}
	age = -1
	if task.heard {
		age = now - task.learnedAt
	}
	return name, task.term, age
}

// Delegated reports whether another member owns a task and its updates come in time, so that this instance need not look at
// the node itself.
func (t *Table) Delegated(now int64, key string) bool {
	task := t.taskByKey[key]
	if task == nil || !task.heard {
		return false
	}
	if task.owner == nil || task.owner == t.self || !task.owner.eligible {
		return false
	}
	return now-task.learnedAt < t.overdueAfter()
}

// Stats returns the table's figures.
func (t *Table) Stats(now int64) Stats {
	stats := Stats{Claims: t.claims, TargetChanges: t.targetChanges, LiveMembers: t.liveMembers(), SlowFound: t.slowFound, Stalls: t.pauses.stalls}
	for _, m := range t.members {
		if m != nil && m.state == memberAlive && m.slowUntil > now {
			stats.SlowMembers++
		}
	}
	return stats
}
