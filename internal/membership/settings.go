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

// Settings holds the settings of the part fleet in the operator's file.
type Settings struct {
	Name       string   // name of this instance, unique among the members
	Cluster    string   // only instances of the same cluster communicate
	Listen     string   // host:port for TCP and UDP
	Advertise  string   // host:port at which other members reach this instance; empty if the same as Listen
	Seeds      []string // host:port of members to join while there is no other member
	Keys       [][]byte // encryption keys, at least one; the first is used for sending
	MaxMembers int
	Weight     float64 // share of the tasks, relative to the weights of the other members
	Bandwidth  int     // limit for outgoing gossip, bytes per second
}

// ReadSettings reads the settings from the part fleet and adds a fault to it for each invalid value; defaultName is the
// name of this instance if the file gives none.
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
		p.AddError("name", fmt.Sprintf("a name of %d bytes", len(s.Name)), fmt.Sprintf("a unique name of 1 to %d bytes", maxName))
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

// checkAddress adds a fault unless the address is an IP address with a port.
func checkAddress(p *sexp.Part, name, address string) {
	host, port, err := net.SplitHostPort(address)
	_, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || net.ParseIP(host) == nil {
		p.AddError(name, strconv.Quote(address), `an address such as "10.0.0.1:7946"`)
	}
}

// readKeys decodes the given keys and those of the key file, "" for none. Finding no key is a fault, even if the key
// file is only empty temporarily, for example while a secret is replaced.
func readKeys(p *sexp.Part, encoded []string, keyFile string) [][]byte {
	if keyFile != "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			p.AddError("key-file", err.Error(), "a file with one key a line")
		}
		encoded = append(encoded, strings.Fields(string(raw))...)
	}
	var keys [][]byte
	for _, text := range encoded {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || memberlist.ValidateKey(key) != nil {
			p.AddError("keys", fmt.Sprintf("a key of %d characters", len(text)), "16, 24 or 32 random bytes in base64")
			continue
		}
		keys = append(keys, key)
	}
	if len(encoded) == 0 {
		p.AddError("keys", "no key", "at least one, in keys or key-file: 16, 24 or 32 random bytes in base64")
	}
	return keys
}
