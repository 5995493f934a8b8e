package rolloutservice

import (
	"testing"

	"cairntiller/internal/rollout"
)

// FuzzDecode: a member sends a record with a phase, state or wave that there is none of. Seen: the router that is asked for
// its status ends by a panic. Whatever bytes come, what is taken can be shown to an operator and sent on.
func FuzzDecode(f *testing.F) {
	for _, golden := range goldenMessages {
		f.Add(encode(golden.message))
	}
	spoilt := func(spoil func(p *rollout.Progress)) {
		record := goldenRecord.Clone()
		spoil(record.Plans[0])
		f.Add(encode(writeRequest{1, record}))
		f.Add(encode(readAnswer{1, true, rollout.VoterState{Record: record}}))
	}
	spoilt(func(p *rollout.Progress) { p.Units[0].Phase = rollout.PhaseForgotten + 1 })
	spoilt(func(p *rollout.Progress) { p.Units[0].Phase = 255 })
	spoilt(func(p *rollout.Progress) { p.State = rollout.StateRolledBack + 1 })
	spoilt(func(p *rollout.Progress) { p.State = 0 })
	spoilt(func(p *rollout.Progress) { p.Wave = -1 })
	spoilt(func(p *rollout.Progress) { p.Wave = 1 << 40 })
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
					t.Fatalf("taken: %+v", p)
				}
			}
		}
		if _, err := decode(encode(m)); err != nil {
			t.Fatalf("%v: %+v", err, m)
		}
	})
}
