//go:build review

package play

import (
	"encoding/json"
	"time"
)

// Router is a router process of the deployment.
type Router struct {
	*Process
	Name, Address string
	run           *Run
	line          string
	environment   []string
}

// StartRouter starts a router by the deploy file's line and waits until it accepts commands. arguments follow the
// line, "" for none.
func (r *Run) StartRouter(name, discovery string, known *List, settings map[string]any, arguments string) *Router {
	address := r.FreeAddress()
	config := map[string]any{
		"name": name, "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be9" + name[len(name)-1:] + "4",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
	if known != nil {
		config["known"] = known
	}
	raw, err := json.Marshal(config)
	r.Check(err)
	path := r.WriteFile(name+".json", string(raw))
	line := r.RunLine()
	if arguments != "" {
		line += " " + arguments
	}
	router := &Router{Name: name, Address: address, run: r, line: line, environment: []string{"RELAY_CONFIG=" + path, "RELAY_NAME=" + name,
		"RELAY_LISTEN=" + address, "RELAY_DISCOVERY=" + discovery}}
	router.Restart()
	return router
}

// Restart starts the router again after its process has ended.
func (router *Router) Restart() {
	router.Process = router.run.Start(router.Name, router.line, router.environment...)
	err := Until(15*time.Second, func() bool { return IsReady(router.Address) })
	if err != nil {
		router.run.Logf("%s:\n%s", router.Name, Indent(router.run.Log(router.Name)))
	}
	router.run.Check(err)
	router.run.Logf("%s is ready at %s", router.Name, router.Address)
}
