package simwire

import (
	"errors"
	"strconv"
	"strings"

	"cairntiller/internal/routing"
	"cairntiller/internal/settings"
)

// openInstance starts an instance with the values that the wire hands it.
func (h *host) openInstance(f [][]byte) error {
	seed, err := strconv.ParseUint(string(f[2]), 10, 64)
	if err != nil {
		return h.bad("initSeed", "no whole number")
	}
	values := make(settings.Values, len(f))
	for _, one := range f[3:] {
		key, value, ok := strings.Cut(string(one), "=")
		if !ok {
			return h.bad("params", "not a path=value pair")
		}
		values[key] = value
	}
	o := &outlet{h: h, name: string(f[1])}
	n := settings.Reader{Values: values}
	o.zero = n.Time("domain.countedFrom")
	o.router = routing.New(seed, o)
	names, err := values.Configure(o.router, 0) // a send takes effect at the time of its event here
	var field *settings.FieldError
	if errors.As(errors.Join(n.Err, err), &field) {
		return h.bad(field.Field, field.Why)
	}
	o.groups, o.teams = names.GroupNumbers, names.TenantNumbers
	h.routers[o.name] = o
	o.router.Start(h.clock)
	return nil
}
