package sharedprobes

import "cairntiller/internal/sexp"

// Settings holds the settings of the part duties in the operator's file.
type Settings struct {
	Enabled      bool
	Interval     int64   // us between two health checks of one node by all instances together
	Instances    int     // number of instances that the operator runs
	MaxProbeRate float64 // health checks of one node per second by all instances at most, even when partitioned
	ClaimRate    float64 // maximum number of tasks that one instance claims per second
}

// ReadSettings reads the settings from the part duties and adds a fault to it for each invalid value.
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
