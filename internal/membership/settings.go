package membership

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/sexp"
)

// Settings are what the operator's file says in its part fleet.
type Settings struct {
	Name       string   // this instance's name, no other member's
	Cluster    string   // only instances of one cluster talk to each other
	Listen     string   // host:port for TCP and UDP
	Advertise  string   // host:port at which the others reach this instance; empty if it is Listen
	Seeds      []string // host:port of members to look for while there is no other
	Keys       [][]byte // encryption keys, one at least; the first is the one to send with
	MaxMembers int
	Weight     float64 // this instance's share of the tasks, relative to the other members' weights
	Bandwidth  int     // bytes a second that gossip may take on the way out
}

// ReadSettings reads the settings from the operator's file, and reports each fault in it to the part; defaultName is the
// instance's name if the file gives none.
func ReadSettings(p *sexp.Part, defaultName string) Settings {
	s := Settings{
		Name:       p.Text("name", defaultName),
		Cluster:    p.Text("cluster", "cairntiller"),
		Listen:     p.Text("listen", ""),
		Advertise:  p.Text("advertise", ""),
		Seeds:      p.Texts("join"),
		MaxMembers: p.Integer("members", 256, 1, 10_000),
		Weight:     p.Number("weight", 1, 0.01, 1000),
		Bandwidth:  int(p.Size("bandwidth", 1<<20, 1<<14, 1<<30)),
	}
	keys := p.Texts("keys")
	keyFile := p.Text("key-file", "")
	if !p.Present() {
		return s
	}
	if s.Name == "" || len(s.Name) > maxName {
		p.AddError("name", fmt.Sprintf("a name of %d bytes", len(s.Name)), fmt.Sprintf("one of 1 to %d, no other member's", maxName))
	}
	checkAddress(p, "listen", s.Listen)
	if s.Advertise != "" {
		checkAddress(p, "advertise", s.Advertise)
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			p.AddError("join", strconv.Quote(seed), `addresses such as "10.0.0.1:7946"`)
		}
	}
	s.Keys = readKeys(p, keys, keyFile)
	return s
}

// checkAddress reports an address that is not an IP address with a port.
func checkAddress(p *sexp.Part, name, address string) {
	host, port, err := net.SplitHostPort(address)
	_, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || net.ParseIP(host) == nil {
		p.AddError(name, strconv.Quote(address), `an address such as "10.0.0.1:7946"`)
	}
}

// readKeys decodes the keys of the file itself and then those of its key file, "" for none. No key at all is a fault, also
// where the key file is empty for a moment, as while a secret is replaced.
func readKeys(p *sexp.Part, encoded []string, keyFile string) [][]byte {
	if keyFile != "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			p.AddError("key-file", err.Error(), "a file with one key a line")
		}
		encoded = append(encoded, strings.Fields(string(raw))...)
	}
	var keys [][]byte
	for _, one := range encoded {
		key, err := base64.StdEncoding.DecodeString(one)
		if err != nil || memberlist.ValidateKey(key) != nil {
			p.AddError("keys", fmt.Sprintf("a key of %d signs", len(one)), "16, 24 or 32 random bytes in base64")
			continue
		}
		keys = append(keys, key)
	}
	if len(encoded) == 0 {
		p.AddError("keys", "no key", "at least one, in keys or key-file: 16, 24 or 32 random bytes in base64")
	}
	return keys
}
