package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// TestLedger keeps the newest record, and nothing of a former leader or for a former process.
func TestLedger(t *testing.T) {
	l := NewVoter(7, nil)
	if k, ok := l.Read(5); !ok || !k.MayHaveForgotten || k.Incarnation != 7 || k.Record != nil {
		t.Fatal(k, ok)
	}
	for _, c := range []struct {
		term, seq, born uint64
		want            bool
	}{
		{4, 1, 7, false}, // it promised term 5
		{5, 1, 6, false}, // to its former process
		{5, 2, 7, true},
		{5, 1, 7, false}, // older
		{5, 2, 7, true},  // the same again
		{6, 1, 7, true},
		{5, 9, 7, false},
	} {
		if got := l.Write(&Record{Term: c.term, Seq: c.seq}, c.born); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if k, ok := l.Read(5); ok {
		t.Error("it answers a former leader", k)
	}
	if k, ok := NewVoter(8, &Record{Term: 6}).Read(7); !ok || k.MayHaveForgotten {
		t.Error("what was kept counts as forgotten")
	}
}

// TestLedgerAgainstModel plays generated reads and writes: what is kept is the greatest write that was taken, and none is
// taken below a promise.
func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, promised, top := NewVoter(1, nil), uint64(0), [2]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			term, seq := rapid.Uint64Range(1, 6).Draw(t, "term"), rapid.Uint64Range(1, 4).Draw(t, "seq")
			if rapid.Bool().Draw(t, "read") {
				k, ok := l.Read(term)
				if ok != (term >= promised) {
					t.Fatalf("read %d behind %d: %v", term, promised, ok)
				}
				if ok {
					promised = term
					if k.Record != nil && [2]uint64{k.Record.Term, k.Record.Seq} != top {
						t.Fatalf("it kept %d/%d, want %v", k.Record.Term, k.Record.Seq, top)
					}
				}
				continue
			}
			want := term >= promised && (term > top[0] || term == top[0] && seq >= top[1])
			if ok := l.Write(&Record{Term: term, Seq: seq}, 1); ok != want {
				t.Fatalf("write %d/%d behind %v, promised %d: %v", term, seq, top, promised, ok)
			} else if ok {
				promised, top = term, [2]uint64{term, seq}
			}
		}
	})
}

// TestMemberHeedsItsOwn sees that a member leaves once, by a statement for its process, and takes drains from the newest.
func TestMemberHeedsItsOwn(t *testing.T) {
	m := NewMember(3)
	acts := func(s Statement) (all []Act) {
		m.HandleStatement(0, &s)
		for _, o := range m.TakeActions() {
			all = append(all, o.Act)
		}
		return all
	}
	for i, c := range []struct {
		s    Statement
		want []Act
	}{
		{Statement{Term: 2, Seq: 1, DrainedNodes: []string{"s"}}, []Act{Drain}},
		{Statement{Term: 1, Seq: 9}, nil},                                                         // a former leader, late
		{Statement{Term: 2, Seq: 2, Instruction: InstructionLeave, Incarnation: 2}, []Act{Drain}}, // for its former process; nothing is drained any more
		{Statement{Term: 2, Seq: 3, Instruction: InstructionLeave, Incarnation: 3}, []Act{Go}},
		{Statement{Term: 2, Seq: 4, Instruction: InstructionLeave, Incarnation: 3}, nil},
	} {
		if got := acts(c.s); !slices.Equal(got, c.want) {
			t.Errorf("%d: %v, want %v", i, got, c.want)
		}
	}
}

// lead makes a leader with one voter, itself, that has begun, with members and nodes in sight.
func lead(t *testing.T, members int, boxes ...NodeState) (l *Leader, now int64, beat func(int64, ...Report)) {
	t.Helper()
	l = NewLeader("r0", []string{"r0"})
	ledger := NewVoter(1, &Record{})
	carry := func() {
		for again := true; again; {
			again = false
			for _, o := range l.TakeActions() {
				switch o.Act {
				case Ask:
					k, ok := ledger.Read(o.Term)
					l.HandleReadAnswer(now, "r0", o.Term, k, ok)
					again = true
				case Write:
					l.HandleWriteAnswer(now, "r0", o.Record.Term, o.Record.Seq, ledger.Write(o.Record, o.Born))
					again = true
				}
			}
		}
	}
	beat = func(d int64, reports ...Report) {
		now += d
		for i := range members {
			l.HandleReport(now, &Report{Member: fmt.Sprint("r", i), Zone: "z", Incarnation: 1, Ready: true, Counts: CommandCounts{Commands: uint64(now / 1000)}})
		}
		for i := range reports {
			l.HandleReport(now, &reports[i])
		}
		l.Tick(now)
		carry()
	}
	for _, b := range boxes {
		l.SetNode(b)
	}
	l.BecomeLeader(now, 1)
	carry()
	for range 7 {
		beat(1_000_000)
	}
	if term, _ := l.Leading(); term != 1 {
		t.Fatal("it does not lead: ", l.NotLeadingReason())
	}
	return l, now, beat
}

func phases(p *Progress) (s string) {
	for _, u := range p.Units {
		s += u.Phase.String()[:1]
	}
	return s
}

// TestGroupKeepsItsPrimary lets a primary go only where a replica is near the log's end, and one node of a group at once.
func TestGroupKeepsItsPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		near  bool
		least int
		want  string
	}{
		"a replica is near": {true, 0, "gww"},
		"none is":           {false, 0, "wgw"}, // a replica that lags may go, the primary not
		"one must stay":     {true, 1, "gww"},  // of two, one leads and one stays
		"two must stay":     {true, 2, "www"},
	} {
		l, now, beat := lead(t, 3, NodeState{Name: "a", Group: 1, Primary: true, Up: true, NearLogEnd: true}, NodeState{Name: "b", Group: 1, Up: true, NearLogEnd: c.near}, NodeState{Name: "c", Group: 1, Up: true, NearLogEnd: c.near})
		l.HandleCommand(now, &Command{Type: CommandStart, Token: "1", Plan: Plan{ID: "p", Kind: KindNodes, Units: []string{"a", "b", "c"}, WaveSizes: []int{3}, Budget: Budget{MaxShare: 1, MinReplicas: c.least}}})
		for range 3 {
			beat(1_000_000)
		}
		if _, r := l.Leading(); phases(r.Plans[0]) != c.want {
			t.Errorf("%s: %s, want %s", name, phases(r.Plans[0]), c.want)
		}
	}
}

// TestUnplannedLossEatsBudget has one of ten out already: nobody goes out under a budget of one.
func TestUnplannedLossEatsBudget(t *testing.T) {
	l, now, beat := lead(t, 10)
	l.MemberUp("r10") // known, and never heard of
	l.HandleCommand(now, &Command{Type: CommandStart, Token: "1", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r3", "r4"}, WaveSizes: []int{2}, ProgressTimeout: 5_000_000, Budget: Budget{MaxUnavailable: 1, MaxShare: 1}}})
	for range 3 {
		beat(1_000_000)
	}
	if _, r := l.Leading(); phases(r.Plans[0]) != "ww" {
		t.Fatal(phases(r.Plans[0]))
	}
	for range 4 {
		beat(1_000_000)
	}
	_, r := l.Leading()
	if p := r.Plans[0]; p.State != StateHalted || !strings.Contains(p.Reason, "1 of 11 are out") {
		t.Errorf("%v: %s", p.State, p.Reason)
	}
	l.HandleCommand(now, &Command{Type: CommandForget, Token: "2", Unit: "r10"})
	l.HandleCommand(now, &Command{Type: CommandResume, Token: "3", PlanID: "p"})
	beat(1_000_000)
	beat(1_000_000)
	if _, r := l.Leading(); phases(r.Plans[0]) != "gw" {
		t.Errorf("%s behind an operator's word", phases(r.Plans[0]))
	}
}

// TestWordsOnce gives a word twice, and two words of which one must lose.
func TestWordsOnce(t *testing.T) {
	l, now, beat := lead(t, 5)
	say := func(w Command) string {
		l.HandleCommand(now, &w)
		for _, o := range l.TakeActions() {
			if o.Act == Reply {
				return o.Why
			}
			if o.Act == Write {
				l.HandleWriteAnswer(now, "r0", o.Record.Term, o.Record.Seq, true)
			}
		}
		for _, o := range l.TakeActions() {
			if o.Act == Reply {
				return o.Why
			}
		}
		return "no reply"
	}
	start := Command{Type: CommandStart, Token: "a", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r1"}}}
	if why := say(start); why != "" {
		t.Fatal(why)
	}
	beat(1_000_000)
	if why := say(start); why != "" {
		t.Error("the same word again:", why)
	}
	start.Token, start.Plan.ID = "b", "q"
	if why := say(start); !strings.Contains(why, "r1 belongs to plan p") {
		t.Error("another plan of the same unit:", why)
	}
	if why := say(Command{Type: CommandHalt, Token: "c", PlanID: "p"}); why != "" {
		t.Error(why)
	}
	for range 2 { // given again before a majority keeps it, a word has no reply yet
		l.HandleCommand(now, &Command{Type: CommandResume, Token: "e", PlanID: "p"})
	}
	for _, o := range l.TakeActions() {
		if o.Act == Reply {
			t.Errorf("replied to %s before it was kept", o.Token)
		}
	}
	beat(1_000_000)
	beat(1_000_000)
	if why := say(Command{Type: CommandHalt, Token: "f", PlanID: "p"}); why != "" {
		t.Error(why)
	}
	if why := say(Command{Type: CommandHalt, Token: "d", PlanID: "p"}); !strings.Contains(why, "is halted") {
		t.Error("the second of two operators:", why)
	}
}

// TestJudge halts by evidence and not by noise.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		touched, others CommandCounts
		want            string
	}{
		"2% more":            {CommandCounts{1500, 36, 0, 0}, CommandCounts{30_000, 90, 0, 0}, "failed"},
		"as all":             {CommandCounts{1500, 5, 0, 0}, CommandCounts{30_000, 90, 0, 0}, ""},
		"few failures":       {CommandCounts{100, 4, 0, 0}, CommandCounts{30_000, 90, 0, 0}, ""},
		"few others":         {CommandCounts{9000, 90, 0, 0}, CommandCounts{140, 0, 0, 0}, ""},
		"late":               {CommandCounts{1500, 0, 150, 0}, CommandCounts{30_000, 0, 900, 0}, "late"},
		"throttled":          {CommandCounts{1500, 0, 0, 200}, CommandCounts{30_000, 0, 0, 1500}, "throttled"},
		"a bad day for all":  {CommandCounts{1500, 300, 0, 0}, CommandCounts{30_000, 6000, 0, 0}, ""},
		"nobody to compare":  {CommandCounts{1500, 300, 0, 0}, CommandCounts{}, ""},
		"better than others": {CommandCounts{1500, 0, 0, 0}, CommandCounts{30_000, 900, 0, 0}, ""},
	} {
		j := newCanaryAnalysis()
		j.touched.counts["a"] = c.touched
		for i := range 10 {
			j.untouched.counts[fmt.Sprint(i)] = CommandCounts{c.others.Commands / 10, c.others.Failed / 10, c.others.Late / 10, c.others.Throttled / 10}
		}
		_, why := j.evaluate()
		if (why == "") != (c.want == "") || !strings.Contains(why, c.want) {
			t.Errorf("%s: %q, want %q", name, why, c.want)
		}
	}
	j := newCanaryAnalysis()
	j.touched.crashes, j.touched.observedTime, j.untouched.observedTime = 3, 60_000_000, 600_000_000
	if _, why := j.evaluate(); !strings.Contains(why, "ended by themselves") {
		t.Errorf("three crashes: %q", why)
	}
	j = newCanaryAnalysis()
	j.touched.crashes, j.touched.observedTime, j.untouched.observedTime = 2, 600_000_000, 120_000_000
	if _, why := j.evaluate(); why != "" {
		t.Errorf("two crashes when nearly all are touched: %q", why)
	}
	j = newCanaryAnalysis()
	j.touched.startupTimes["a"], j.untouched.startupTimes["b"] = 30_000_000, 1_000_000
	if _, why := j.evaluate(); !strings.Contains(why, "to start") {
		t.Errorf("a slow start: %q", why)
	}
	j = newCanaryAnalysis()
	j.touched.residentBytes["a"], j.untouched.residentBytes["b"] = 200<<20, 40<<20
	if _, why := j.evaluate(); !strings.Contains(why, "MB") {
		t.Errorf("memory: %q", why)
	}
}
