package simwire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cairntiller/internal/routing"
	"cairntiller/internal/settings"
)

// instance is one isolated router. It implements routing.Actions by writing them into the server's reply.
type instance struct {
	server        *server
	name          string
	router        *routing.Router
	crashed       bool           // the module panicked: it gets no more events
	positionZero  int64          // us in Unix time from which the simulator counts positions
	groupNumbers  map[string]int // by name
	tenantNumbers map[string]int // by name
}

// openInstance starts an instance: its seed, then its settings as path=value.
func (s *server) openInstance(name string, fields [][]byte) error {
	seed, err := strconv.ParseUint(string(fields[2]), 10, 64)
	if err != nil {
		return s.fault("initSeed", "no whole number")
	}
	values := make(settings.Values, len(fields))
	for _, pair := range fields[3:] {
		path, value, found := strings.Cut(string(pair), "=")
		if !found {
			return s.fault("params", "not a path=value pair")
		}
		values[path] = value
	}
	i := &instance{server: s, name: name}
	n := settings.Reader{Values: values}
	i.positionZero = n.Time("domain.countedFrom")
	i.router = routing.New(seed, i)
	config, catalog, err := values.RoutingConfig(0) // an attempt goes out at the time of its event here
	var unread *settings.FieldError
	if errors.As(errors.Join(n.Err, err), &unread) {
		return s.fault(unread.Field, unread.Why)
	}
	i.router.Configure(config)
	i.groupNumbers = catalog.GroupNumbers
	i.tenantNumbers = catalog.TenantNumbers
	s.instances[name] = i
	i.router.Start(s.now)
	return nil
}

// deliver hands one event to the instance. A panic of the module ends the instance alone, and is written as an action.
func (i *instance) deliver(handle eventHandler, fields [][]byte) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.crashed = true
			i.server.reply = fmt.Appendf(i.server.reply, "bail_out %s %q\n", i.name, fmt.Sprint(p))
		}
	}()
	n := &i.server.reader
	n.err = nil
	if err := handle(i, i.server.now, fields, n); err != nil {
		return err
	}
	return n.err
}
