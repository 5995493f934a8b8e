package simwire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cairntiller/internal/routing"
	"cairntiller/internal/settings"
)

// instance is one isolated router. It implements routing.Actions by appending each action to the server's reply.
type instance struct {
	server        *server
	name          string
	router        *routing.Router
	crashed       bool           // the routing module panicked and receives no more events
	positionEpoch int64          // epoch of the simulator's positions, us in Unix time
	groupNumbers  map[string]int // by name
	tenantNumbers map[string]int // by name
}

// openInstance starts an instance. Field 2 is its seed; the other fields are its settings as path=value.
func (s *server) openInstance(name string, fields [][]byte) error {
	seed, err := strconv.ParseUint(string(fields[2]), 10, 64)
	if err != nil {
		return s.inputError("initSeed", "not a whole number")
	}
	values := make(settings.Values, len(fields))
	for _, pair := range fields[3:] {
		path, value, found := strings.Cut(string(pair), "=")
		if !found {
			return s.inputError("params", "not a path=value pair")
		}
		values[path] = value
	}
	i := &instance{server: s, name: name}
	settingsReader := settings.Reader{Values: values}
	i.positionEpoch = settingsReader.Time("domain.countedFrom")
	i.router = routing.New(seed, i)
	config, catalog, err := values.RoutingConfig(0) // in the simulator an attempt is sent at the time of its event
	var fieldError *settings.FieldError
	if errors.As(errors.Join(settingsReader.Err, err), &fieldError) {
		return s.inputError(fieldError.Field, fieldError.Reason)
	}
	i.router.Configure(config)
	i.groupNumbers = catalog.GroupNumbers
	i.tenantNumbers = catalog.TenantNumbers
	s.instances[name] = i
	i.router.Start(s.now)
	return nil
}

// deliver passes one event to the instance. A panic in the routing module ends only this instance and is reported as an
// action.
func (i *instance) deliver(handle eventHandler, fields [][]byte) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.crashed = true
			i.server.reply = fmt.Appendf(i.server.reply, "bail_out %s %q\n", i.name, fmt.Sprint(p))
		}
	}()
	r := &i.server.reader
	r.err = nil
	if err := handle(i, i.server.now, fields, r); err != nil {
		return err
	}
	return r.err
}
