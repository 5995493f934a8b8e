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

// operatorOptions holds the parts of the operator's file that configure the cluster services and the admin socket, each
// as decoded by its package.
type operatorOptions struct {
	membership   membership.Settings
	sharedProbes sharedprobes.Settings
	leases       leaseservice.Settings
	versionAudit versionaudit.Settings
	adminSocket  adminsocket.Settings
	rollouts     rolloutservice.Settings
}

// CheckFile validates the operator's file as a router does at startup. A placeholder stands for the router's own name,
// which is not known here. The error lists every fault.
func CheckFile(path string) error {
	_, err := readOperatorFile(path, "n0")
	return err
}

// readOperatorFile reads the operator's file for the router called name; path is "" for no file. The error lists every
// fault.
func readOperatorFile(path, name string) (o operatorOptions, err error) {
	file := sexp.EmptyFile()
	if path != "" {
		if file, err = sexp.ReadFile(path); err != nil {
			return o, err
		}
		sql.ReadSettings(file.Part("statements")) // reports its faults; only the classify sub-command uses the values
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
		duties.AddError("", "duties without a fleet", "a part fleet, which defines the members that share them")
	}
	if o.leases.Given && !fleet.Present() {
		leases.AddError("", "leases without a fleet", "a part fleet, which defines the members that hold them")
	}
	if o.rollouts.Given && !o.leases.Given {
		releases.AddError("", "releases without leases", "a part leases, whose voters store the decisions")
	}
	return o, file.Err()
}
