package sharedprobes

import "cairntiller/internal/sexp"

// Settings are what the operator's file says in its part duties.
type Settings struct {
	Enabled      bool
	Interval     int64   // us between health checks of one node by all instances together
	Instances    int     // instances that the operator runs
	MaxProbeRate float64 // health checks of one node a second by all instances, even where they cannot reach one another
	ClaimRate    float64 // tasks a second that one instance claims at most
}

// ReadSettings reads the settings from the operator's file, and reports each fault in it to the part.
func ReadSettings(p *sexp.Part) Settings {
	probe := p.Part("probe")
	return Settings{
		Enabled:      p.Present(),
		Interval:     probe.Duration("every", 1_000_000, 100_000, 60_000_000),
		Instances:    p.Integer("instances", 1, 1, 10_000),
		MaxProbeRate: p.Number("box-load", 4, 0.1, 1000),
		ClaimRate:    p.Number("take-over", 50, 1, 100_000),
	}
}
