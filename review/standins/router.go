//go:build review

package standins

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
)

// Object is a JSON object.
type Object map[string]any

// FreeAddress returns a loopback address at which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Router is one router of the program.
type Router struct {
	Name, Address string
	Process       *exec.Cmd
	config        string
}

// StartRouter starts a router, by the line of the shell if there is one, else by the line run of the deploy file, and
// waits until it is ready. known is the list that it last had.
func (c *Case) StartRouter(name, line, discovery string, known List, settings Object) (*Router, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: address, config: filepath.Join(c.Temp, name+".json")}
	raw, err := json.MarshalIndent(Object{
		"name": name, "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	}, "", " ")
	if err == nil {
		err = os.WriteFile(r.config, raw, 0o600)
	}
	if err == nil && line == "" {
		line, err = c.DeployLine("run")
	}
	if err != nil {
		return nil, err
	}
	r.Process, err = c.Start(name, line, "RELAY_NAME="+name, "RELAY_LISTEN="+address, "RELAY_DISCOVERY="+discovery, "RELAY_CONFIG="+r.config)
	if err != nil {
		return nil, err
	}
	return r, WaitReady(address)
}

// Settings returns the settings of a small deployment like the first one: what a class needs and how often it may run is
// in classes and levels, one after the other.
func Settings(routers int, classes []Object, levels []string, oldest []float64) Object {
	return Object{
		"az": "a", "azs": []string{"a"}, "siblings": routers, "round": 5, "registryMode": "pushed", "classes": classes,
		"domain": Object{"readLevel": levels, "oldestData": oldest, "writeMarks": "carried", "checks": "none", "positions": true, "listRole": "late"},
		"limits": Object{"maxAttempts": 8, "cancel": true, "probes": true, "secondCopies": false, "connectTimeout": 250, "connIdle": 15000,
			"streamsPerConn": 1, "maxOpen": 20000, "retryAfter": true, "maxRetryAfter": 500},
		"report": Object{"how": "answers", "fields": []string{"x0", "x1", "inflight"}},
		"rules":  Object{"cold": 17000, "coldFrom": 0.19, "fall": 2000, "fallMultiple": 2, "graceToAnswer": 20, "stopSendingWithin": 2000},
	}
}
