package rolloutservice

import (
	"testing"

	"cairntiller/internal/rollout"
)

// FuzzDecode checks that every message that decodes can be shown to an operator and encoded again. The fault it guards
// against: a member sent a record with an unknown phase, state or wave, and a router that was asked for its status
// panicked.
func FuzzDecode(f *testing.F) {
	for _, golden := range goldenMessages {
		f.Add(encode(golden.message))
	}
	addCorrupted := func(corrupt func(p *rollout.Progress)) {
		record := goldenRecord.Clone()
		corrupt(record.Plans[0])
		f.Add(encode(writeRequest{1, record}))
		f.Add(encode(readAnswer{1, true, rollout.VoterState{Record: record}}))
	}
	addCorrupted(func(p *rollout.Progress) { p.Units[0].Phase = rollout.PhaseForgotten + 1 })
	addCorrupted(func(p *rollout.Progress) { p.Units[0].Phase = 255 })
	addCorrupted(func(p *rollout.Progress) { p.State = rollout.StateRolledBack + 1 })
	addCorrupted(func(p *rollout.Progress) { p.State = 0 })
	addCorrupted(func(p *rollout.Progress) { p.Wave = -1 })
	addCorrupted(func(p *rollout.Progress) { p.Wave = 1 << 40 })
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err != nil {
			return
		}
		var record *rollout.Record
		switch m := m.(type) {
		case writeRequest:
			record = m.record
		case readAnswer:
			record = m.state.Record
		case commandMessage:
			_ = m.command.Type.String() + m.command.Plan.Kind.String()
		}
		if record != nil {
			var status Status
			status.addRecord(record)
			for _, p := range status.Plans {
				if p.State == "" || p.Wave < 1 {
					t.Fatalf("accepted an invalid plan: %+v", p)
				}
			}
		}
		if _, err := decode(encode(m)); err != nil {
			t.Fatalf("cannot decode the encoded message again: %v: %+v", err, m)
		}
	})
}
