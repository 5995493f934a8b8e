package rolloutservice

import (
	"fmt"
	"path/filepath"

	"cairntiller/internal/sexp"
)

// Settings are the part "releases" of the operator's file.
type Settings struct {
	Given           bool // the file has this part; without it the service is off
	Zone            string
	Version         uint64
	NextVersionFile string // file to which the version that the supervisor is to start next is written; "" for none
}

// ReadSettings reads the settings from the part "releases" of the operator's file, and adds faults that it finds to the
// part.
func ReadSettings(p *sexp.Part) Settings {
	settings := Settings{
		Given:           p.Present(),
		Zone:            p.Text("zone", ""),
		Version:         uint64(p.Integer("version", 1, 1, 1<<40)),
		NextVersionFile: p.Text("next", ""),
	}
	if settings.NextVersionFile != "" && !filepath.IsAbs(settings.NextVersionFile) {
		p.AddError("next", fmt.Sprintf("%q", settings.NextVersionFile), `a path such as "/var/lib/cairntiller/next"`)
	}
	return settings
}
