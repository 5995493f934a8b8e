package serve

import (
	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/sexp"
	"cairntiller/internal/sharedprobes"
	"cairntiller/internal/sql"
	"cairntiller/internal/versionaudit"
)

// operatorOptions are the parts of the operator's file that concern what a router does with others, each as its package
// reads it.
type operatorOptions struct {
	membership   membership.Settings
	sharedProbes sharedprobes.Settings
	leases       leaseservice.Settings
	versionAudit versionaudit.Settings
	adminSocket  adminsocket.Settings
	rollouts     rolloutservice.Settings
}

// CheckFile reads the operator's file as a start would, for a router whose own name is not known. The error holds every
// fault.
func CheckFile(path string) error {
	_, err := readOperatorFile(path, "n0")
	return err
}

// readOperatorFile reads the operator's file, "" for none, for the router of a name. The error holds every fault.
func readOperatorFile(path, name string) (o operatorOptions, err error) {
	file := sexp.EmptyFile()
	if path != "" {
		if file, err = sexp.ReadFile(path); err != nil {
			return o, err
		}
		sql.ReadSettings(file.Part("statements")) // for its faults: no running router uses it, only classify
	}
	fleet := file.Part("fleet")
	duties := file.Part("duties")
	leases := file.Part("leases")
	releases := file.Part("releases")
	o = operatorOptions{
		membership:   membership.ReadSettings(fleet, name),
		sharedProbes: sharedprobes.ReadSettings(duties),
		leases:       leaseservice.ReadSettings(leases),
		versionAudit: versionaudit.ReadSettings(leases.Part("roll-call")),
		adminSocket:  adminsocket.ReadSettings(file.Part("control")),
		rollouts:     rolloutservice.ReadSettings(releases),
	}
	if o.sharedProbes.Enabled && !fleet.Present() {
		duties.AddError("", "duties without a fleet", "a part fleet, which says who shares them")
	}
	if o.leases.Given && !fleet.Present() {
		leases.AddError("", "leases without a fleet", "a part fleet, which says among whom")
	}
	if o.rollouts.Given && !o.leases.Given {
		releases.AddError("", "releases without leases", "a part leases, whose voters keep what is decided")
	}
	return o, file.Err()
}
