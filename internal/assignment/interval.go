package assignment

// updateInterval sets the interval between two runs of one task from the number of members that this instance sees.
//
// Each part of a parted network runs every task. A part of k of N instances therefore runs a task at most
// k * MaxRunRate / N times a second, so that the parts together stay within MaxRunRate. N is the greatest number of live
// members that counts, or what the operator says if that is more.
//
// This function runs only when a member is reported up or down. Without a report the greatest number counts for as long as
// there is none.
func (t *Table) updateInterval(now int64) {
	live := t.noteMembers(now)
	all := max(t.peakMembers, t.config.Instances, live)
	t.interval = max(t.config.Interval, int64(float64(all)/(float64(live)*t.config.MaxRunRate)*1e6))
}

// noteMembers notes how many members are live, which it returns, and when that was the greatest number. It is called before a
// member is lost too: the greatest number held until then, however long ago it was reached.
func (t *Table) noteMembers(now int64) int {
	live := t.liveMembers()
	if live >= t.peakMembers || now-t.peakAt > memberMemory {
		t.peakMembers = live
		t.peakAt = now
	}
	return live
}

// Interval is the time in us between two runs of one task, as far as this instance sees.
func (t *Table) Interval() int64 { return t.interval }
