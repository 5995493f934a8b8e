package assignment

// updateInterval sets the interval between two runs of one task from the number of live members.
//
// Each side of a network partition runs every task. A side with k of N instances therefore runs a task at most
// k * MaxRunRate / N times a second, so that all sides together stay within MaxRunRate. N is the peak number of live
// members or the configured number of instances, whichever is greater.
//
// This function runs only when a member is reported up or down, so between reports the peak does not expire.
func (t *Table) updateInterval(now int64) {
	live := t.updatePeakMembers(now)
	total := max(t.peakMembers, t.config.Instances, live)
	t.interval = max(t.config.Interval, int64(float64(total)/(float64(live)*t.config.MaxRunRate)*1e6))
}

// updatePeakMembers updates the peak number of live members and returns the current number. It also runs before a
// member is marked as down: until then the peak still held, however long ago it was reached.
func (t *Table) updatePeakMembers(now int64) int {
	live := t.liveMembers()
	if live >= t.peakMembers || now-t.peakAt > memberRetention {
		t.peakMembers = live
		t.peakAt = now
	}
	return live
}

// Interval returns the time in us between two runs of one task, in this instance's view.
func (t *Table) Interval() int64 { return t.interval }
