package rolloutservice

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"

	"cairntiller/internal/codec"
	"cairntiller/internal/rollout"
)

// During an upgrade members of two versions of the program exchange messages, and an operator's command may come from
// either version. The files in testdata were written by the version before this package had its own types for messages;
// they must not change.

var goldenPlan = rollout.Plan{ID: "p-1", Kind: rollout.KindVersion, Units: []string{"r1", "r0", "r2"}, TargetVersion: 7, PreviousVersion: 6, WaveSizes: []int{1, 2}, WatchTime: 30_000_000,
	DrainTime: 4_000_000, ProgressTimeout: 120_000_000, NoRollback: true, Budget: rollout.Budget{MaxUnavailable: 2, MaxShare: 0.25, MaxPerZone: 1, MaxPerGroup: 3, MinReplicas: 4, MaxGroupLoad: 0.5}}

var goldenRecord = &rollout.Record{Term: 9, Seq: 300, SlotsGranted: 17, Members: []string{"r0", "r1", "r2"}, Tokens: []string{"a", "b"}, Plans: []*rollout.Progress{
	{Plan: goldenPlan, State: rollout.StateRollingBack, Reason: "an operator's word", Wave: 1, Units: []rollout.Unit{
		{Phase: rollout.PhaseStuck, Slot: rollout.Slot{Term: 8, Number: 16}, Incarnation: 1_700_000_000_000_001, RollingBack: true, Attempts: 2},
		{Phase: rollout.PhaseDone, Slot: rollout.Slot{Term: 9, Number: 17}, Incarnation: 5, Attempts: 1},
		{}}},
	{Plan: rollout.Plan{ID: "p-2", Kind: rollout.KindNodes, Units: []string{"s-0a"}}, State: rollout.StateRunning, Units: []rollout.Unit{{Phase: rollout.PhaseUnavailable}}},
}}

// goldenMessages are the messages whose bytes testdata/messages.golden holds, by name and in its order.
var goldenMessages = []struct {
	name    string
	message message
}{
	{"report", reportMessage{&rollout.Report{Member: "r1", Zone: "a", Incarnation: 1_700_000_000_000_002, Version: 7, Ready: true, Leaving: true, Term: 9, Seq: 300,
		Counts: rollout.CommandCounts{Commands: 1000, Failed: 3, Late: 2, Rejected: 1}, StartupTime: 250_000, ResidentBytes: 20 << 20,
		Nodes: []rollout.NodeUse{{Node: "s-0a", OpenCommands: 2}, {Node: "s-1b", Answers: 70_000}}, MayHaveForgotten: true}}},
	{"report of a new member", reportMessage{&rollout.Report{Member: "r1"}}},
	{"report request", reportRequest{}},
	{"statement", statementMessage{&rollout.Statement{Term: 9, Seq: 301, Instruction: rollout.InstructionLeave, Slot: rollout.Slot{Term: 9, Number: 18}, Incarnation: 1_700_000_000_000_002,
		TargetVersion: 7, DrainedNodes: []string{"s-0a", "s-1b"}}, false}},
	{"statement without drains", statementMessage{&rollout.Statement{Term: 9, Seq: 301}, false}},
	{"statement with empty drains", statementMessage{&rollout.Statement{Term: 9, Seq: 301, DrainedNodes: []string{}}, false}},
	{"statement of a voter", statementMessage{rollout.DrainStatement(goldenRecord), true}},
	{"voter read", readRequest{9}},
	{"voter read answer", readAnswer{9, true, rollout.VoterState{Record: goldenRecord, Incarnation: 4, MayHaveForgotten: false}}},
	{"voter read answer of a new process", readAnswer{9, true, rollout.VoterState{Incarnation: 1_700_000_000_000_003, MayHaveForgotten: true}}},
	{"voter read refused", readAnswer{9, false, rollout.VoterState{}}},
	{"voter write", writeRequest{1_700_000_000_000_003, goldenRecord}},
	{"voter write of an empty record", writeRequest{1, &rollout.Record{}}},
	{"voter write with empty lists", writeRequest{1, &rollout.Record{Term: 1, Members: []string{}, Tokens: []string{}, Plans: []*rollout.Progress{}}}},
	{"voter write answer", writeAnswer{9, 300, true}},
	{"voter write refused", writeAnswer{9, 300, false}},
	{"drain query", drainQuery{}},
	{"command start", commandMessage{&rollout.Command{Type: rollout.CommandStart, Token: "t1", Plan: goldenPlan}}},
	{"command halt", commandMessage{&rollout.Command{Type: rollout.CommandHalt, Token: "t2", PlanID: "p-1"}}},
	{"command resume", commandMessage{&rollout.Command{Type: rollout.CommandResume, Token: "t3", PlanID: "p-1"}}},
	{"command back", commandMessage{&rollout.Command{Type: rollout.CommandRollBack, Token: "t4", PlanID: "p-1"}}},
	{"command forget", commandMessage{&rollout.Command{Type: rollout.CommandForget, Token: "t5", PlanID: "p-1", Unit: "r1"}}},
	{"command return", commandMessage{&rollout.Command{Type: rollout.CommandReturn, Token: "t6", PlanID: "p-2", Unit: "s-0a"}}},
	{"command begin", commandMessage{&rollout.Command{Type: rollout.CommandForceRecovery, Token: "t7"}}},
	{"reply accepted", commandReply{"t1", true, ""}},
	{"reply refused", commandReply{"t1", false, "no plan \"p-9\""}},
}

// readGolden reads lines that consist of a name, a tab and a text.
func readGolden(t *testing.T, path string) (names []string, texts map[string]string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	texts = map[string]string{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), "\t")
		if !found {
			t.Fatalf("%s: line without a tab: %q", path, lines.Text())
		}
		names = append(names, name)
		texts[name] = text
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return names, texts
}

// TestGoldenMessages encodes each message to the recorded bytes, and decodes the recorded bytes to the same message.
func TestGoldenMessages(t *testing.T) {
	names, texts := readGolden(t, "testdata/messages.golden")
	if len(names) != len(goldenMessages) {
		t.Fatalf("%d messages are recorded, want %d", len(names), len(goldenMessages))
	}
	for _, golden := range goldenMessages {
		t.Run(golden.name, func(t *testing.T) {
			want, err := hex.DecodeString(texts[golden.name])
			if err != nil || len(want) == 0 {
				t.Fatal("no recorded bytes: ", err)
			}
			if got := encode(golden.message); !bytes.Equal(got, want) {
				t.Errorf("encoded to %x, want %x", got, want)
			}
			got, err := decode(want)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, golden.message) {
				t.Errorf("decoded to %+v, want %+v", got, golden.message)
			}
		})
	}
}

// TestMutatedMessages changes bytes of the recorded messages at random. The same ones are rejected as when the hash was
// recorded, which was when records with an unknown phase, state or wave began to be rejected; an accepted message
// encodes to the recorded hash.
func TestMutatedMessages(t *testing.T) {
	const (
		wantAccepted = 6549
		wantRejected = 45451
		wantHash     = 0x8872c165a0e2673a
	)
	names, texts := readGolden(t, "testdata/messages.golden")
	rng := rand.New(rand.NewPCG(1, 2))
	digest := xxhash.New()
	accepted, rejected := 0, 0
	for _, name := range names {
		packed, err := hex.DecodeString(texts[name])
		if err != nil {
			t.Fatal(err)
		}
		raw, err := s2.Decode(nil, packed)
		if err != nil {
			t.Fatal(err)
		}
		for range 2000 {
			mutated := bytes.Clone(raw)
			for range 1 + rng.IntN(3) {
				mutated[rng.IntN(len(mutated))] = byte(rng.IntN(256))
			}
			m, err := decode(s2.Encode(nil, mutated))
			if err != nil {
				rejected++
				digest.Write([]byte{0})
				continue
			}
			accepted++
			digest.Write([]byte{1})
			again, err := s2.Decode(nil, encode(m))
			if err != nil {
				t.Fatal(err)
			}
			digest.Write(again)
		}
	}
	if accepted != wantAccepted || rejected != wantRejected || digest.Sum64() != wantHash {
		t.Errorf("%d accepted, %d rejected, hash %#016x; want %d, %d, %#016x", accepted, rejected, digest.Sum64(), wantAccepted, wantRejected, uint64(wantHash))
	}
}

// TestGoldenTexts compares the texts that the admin socket exchanges with operators' tools.
func TestGoldenTexts(t *testing.T) {
	_, texts := readGolden(t, "testdata/texts.golden")
	check := func(name, got string) {
		t.Helper()
		if got != texts[name] {
			t.Errorf("%s: %s, want %s", name, got, texts[name])
		}
		delete(texts, name)
	}
	for _, golden := range goldenMessages {
		command, isCommand := golden.message.(commandMessage)
		if !isCommand {
			continue
		}
		text, err := EncodeCommand(*command.command)
		if err != nil {
			t.Fatal(err)
		}
		check(golden.name, text)
		decoded, err := decodeCommand(text)
		if err != nil || !reflect.DeepEqual(decoded, command.command) {
			t.Errorf("%s decoded to %+v (%v), want %+v", golden.name, decoded, err, command.command)
		}
	}
	filled := Status{Router: "r0", Leads: true, Leader: "r0", NotLeadingReason: "it writes to voters", Term: 9}
	filled.addRecord(goldenRecord)
	for name, status := range map[string]Status{"status": filled, "status of nothing": {Router: "r1"}} {
		text, err := json.Marshal(status)
		if err != nil {
			t.Fatal(err)
		}
		check(name, string(text))
	}
	for name := range texts {
		t.Errorf("%s is recorded but was not compared", name)
	}
}

// TestMalformedMessages checks that messages are rejected that lack what their kind needs, carry an invalid record, are
// too large when decompressed, or have another format version.
func TestMalformedMessages(t *testing.T) {
	pack := func(w wireMessage) []byte { return s2.Encode(nil, codec.Encode(w)) }
	invalidPlan := &wireRecord{Plans: []*wireProgress{{Plan: wirePlan{ID: "p", Kind: 9, Units: []string{"r1"}}, Units: make([]wireUnit, 1)}}}
	tooFewUnits := newWireRecord(goldenRecord)
	tooFewUnits.Plans[0].Units = tooFewUnits.Plans[0].Units[:2]
	for name, c := range map[string]struct {
		packed []byte
		want   error
	}{
		"report without a report":       {pack(wireMessage{Version: formatVersion, Kind: kindReport}), ErrMalformed},
		"statement without a statement": {pack(wireMessage{Version: formatVersion, Kind: kindStatement}), ErrMalformed},
		"read answer without a state":   {pack(wireMessage{Version: formatVersion, Kind: kindReadAnswer}), ErrMalformed},
		"write without a record":        {pack(wireMessage{Version: formatVersion, Kind: kindWriteRequest}), ErrMalformed},
		"command without a command":     {pack(wireMessage{Version: formatVersion, Kind: kindCommand}), ErrMalformed},
		"no kind":                       {pack(wireMessage{Version: formatVersion}), ErrMalformed},
		"an unknown kind":               {pack(wireMessage{Version: formatVersion, Kind: kindCommandReply + 1}), ErrMalformed},
		"an invalid plan":               {pack(wireMessage{Version: formatVersion, Kind: kindWriteRequest, Record: invalidPlan}), ErrMalformed},
		"an unused invalid plan":        {pack(wireMessage{Version: formatVersion, Kind: kindDrainQuery, Record: invalidPlan}), ErrMalformed},
		"no plan":                       {pack(wireMessage{Version: formatVersion, Kind: kindWriteRequest, Record: &wireRecord{Plans: []*wireProgress{nil}}}), ErrMalformed},
		"too few units":                 {pack(wireMessage{Version: formatVersion, Kind: kindReadAnswer, Kept: &wireKept{Record: tooFewUnits}}), ErrMalformed},
		"a later version":               {pack(wireMessage{Version: formatVersion + 1, Kind: kindDrainQuery}), ErrFormatVersion},
		"too large":                     {s2.Encode(nil, make([]byte, maxUnpackedSize+1)), ErrMalformed},
	} {
		if _, err := decode(c.packed); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}
