package assignment

import "github.com/cespare/xxhash/v2"

// Config configures a Table.
type Config struct {
	Self        string  // name of this instance
	Weight      float64 // share of the tasks, relative to the weights of the other members
	Incarnation uint64  // number of this process among those of the same name: increases with each start

	Interval  int64 // us between two runs of one task by all instances together; at least 1
	Instances int   // number of instances that the operator runs; at least 1

	// MaxRunRate limits the runs of one task per second by all instances together, even when they are partitioned.
	MaxRunRate float64
	// ClaimRate limits the tasks that this instance claims per second.
	ClaimRate float64
}

// Update is the result of one run of a task.
type Update struct {
	Key          string
	Owner        string // instance that ran the task
	Term         uint64 // term of the owner's claim; 0 for a second opinion, which claims nothing
	Age          int64  // us since the run
	NodeStarted  int64  // identifies the node's process: its start time in the endpoint list
	Unresponsive bool   // the node did not respond
	Position     int64  // replication position reported by the node, 0 for none
	PrimaryHint  int8   // 1 if the node reported that it is the primary, -1 if it reported that it is not, 0 if unknown
	LoadReport   string // load report of the node, unparsed; forwarded to the other instances, which do not read it
}

// DueRun is a task that this instance must run now.
type DueRun struct {
	Key           string
	SecondOpinion bool // the run verifies another owner's report that the node does not respond
}

// Stats holds counters and gauges of a table.
type Stats struct {
	Claims         int64 // claims by this instance
	TargetChanges  int64 // changes of the targets of tasks, in this instance's view
	LiveMembers    int   // including this instance
	SlowMembers    int   // live members that are considered slow
	SlowDetections int64 // times that this instance classified a member as slow
	Stalls         int64 // stalls of this instance itself
}

// Table is one instance's view of tasks and members. It is not safe for concurrent use.
type Table struct {
	config Config

	members      []*member // by slot; nil for a free slot
	freeMembers  []int     // free slots; the most recently freed one is reused first
	memberByName map[string]*member
	self         *member
	targetsStale bool // the set of eligible members may have changed since targets were last selected

	tasks     []*task // by slot; nil for a free slot
	freeTasks []int
	taskByKey map[string]*task

	interval    int64 // us between two runs of one task, as set by updateInterval
	peakMembers int   // greatest number of live members within memberRetention (interval.go)
	peakAt      int64 // latest time at which peakMembers was observed

	budget           claimBudget
	rejoin           rejoinState
	pauses           pauseDetector
	updateDelay      float64 // estimated upper range of the delay (us) of updates
	recentUpdateSeen bool    // a recent update by another member has arrived since the start

	claims         int64
	targetChanges  int64
	slowDetections int64
}

// task is one periodic task.
type task struct {
	slot        int
	key         string
	hash        uint64
	nodeStarted int64 // start time of the node's process, from the endpoint list

	target *member // eligible member with the highest score, nil if there is none
	owner  *member // nil if unknown
	term   uint64  // greatest term seen

	learnedAt int64 // time of the newest update by any instance; until the first, when the task was added
	hasUpdate bool  // at least one update has been recorded
	nextRun   int64 // time of the next run if this instance is the owner

	reclaimAfter     int64 // time before which this instance does not take the task back from another owner
	reclaimDoublings uint8 // consecutive takeovers of the task from this instance, at most reclaimMaxDoublings

	secondOpinionAt  int64 // time of this instance's last second opinion
	secondOpinionDue bool
}

// New returns the table of an instance that starts at the given time.
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
		rejoin:       rejoinState{claimsFrom: now + startupListenTime},
		pauses:       pauseDetector{lastSeen: now},
	}
	t.self = t.addMember(config.Self, config.Weight)
	t.self.incarnation = config.Incarnation
	t.self.state = memberAlive
	t.updateInterval(now)
	return t
}

// AddTask adds a task. If the task is known and nodeStarted differs, the node now runs in another process.
func (t *Table) AddTask(now int64, key string, nodeStarted int64) {
	if known := t.taskByKey[key]; known != nil {
		if known.nodeStarted != nodeStarted { // results for the former process no longer apply
			known.nodeStarted = nodeStarted
			known.secondOpinionDue = false
		}
		return
	}
	added := &task{
		key:         key,
		hash:        xxhash.Sum64String(key),
		nodeStarted: nodeStarted,
		learnedAt:   now, // the overdue period starts now
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

// RemoveTask removes a task.
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

// Tick makes the claims that are due and returns the runs that are due now, reusing the memory of due. It must be
// called about ten times a second. A gap longer than pauseThreshold counts as a pause of this instance (pause.go).
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

// OwnedTasks returns the number of tasks that this instance owns.
func (t *Table) OwnedTasks() int { return t.self.owned }

// TargetedTasks returns the number of tasks whose target is the given member.
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

// Owner returns a task's known owner, the greatest term seen, and the age in us of the newest update. The age is -1 if
// the task is unknown or has no update.
func (t *Table) Owner(now int64, key string) (name string, term uint64, age int64) {
	task := t.taskByKey[key]
	if task == nil {
		return "", 0, -1
	}
	if task.owner != nil {
		name = task.owner.name
	}
	age = -1
	if task.hasUpdate {
		age = now - task.learnedAt
	}
	return name, task.term, age
}

// Delegated reports whether another eligible member owns a task and its updates are on time, so that this instance does
// not have to check the node itself.
func (t *Table) Delegated(now int64, key string) bool {
	task := t.taskByKey[key]
	if task == nil || !task.hasUpdate {
		return false
	}
	if task.owner == nil || task.owner == t.self || !task.owner.eligible {
		return false
	}
	return now-task.learnedAt < t.overdueAfter()
}

// Stats returns the table's counters and gauges.
func (t *Table) Stats(now int64) Stats {
	stats := Stats{Claims: t.claims, TargetChanges: t.targetChanges, LiveMembers: t.liveMembers(), SlowDetections: t.slowDetections, Stalls: t.pauses.stalls}
	for _, m := range t.members {
		if m != nil && m.state == memberAlive && m.slowUntil > now {
			stats.SlowMembers++
		}
	}
	return stats
}
