// Package cluster runs a whole deployment on free ports of loopback, for the demo, proofs and tests: simulated database nodes,
// a simulated service discovery, and router processes in front of them.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cairntiller/internal/testcluster/database"
	"cairntiller/internal/testcluster/discovery"
)

// The command classes of every cluster, by their names.
const (
	ClassReadAny = "board"
	ClassReadOwn = "own"
	ClassWrite   = "entry"
)

const (
	drainGrace     = 2_000_000              // us after which a draining node may get nothing new
	workPerCommand = 2 * time.Millisecond   // that a command takes on one of a node's cores
	coresPerNode   = 4                      // of a node
	startTimeout   = 10 * time.Second       // for a router to be ready
	stopTimeout    = 3 * time.Second        // for a router to leave in order
	clientTimeout  = 900 * time.Millisecond // that clients wait
)

// Cluster is the nodes, their discovery and the routers in front of them.
type Cluster struct {
	Database  *database.Cluster
	Discovery *discovery.Server
	Folder    string // of the routers' files; Close removes it
	routers   []*Router
}

// New starts a cluster of that many shards with that many nodes each. The first node of a shard is its primary.
func New(seed uint64, shards, nodesPerShard int) (*Cluster, error) {
	c := &Cluster{Database: database.New(seed, drainGrace)}
	var err error
	if c.Discovery, err = discovery.Start(); err != nil {
		return nil, err
	}
	if c.Folder, err = os.MkdirTemp("", "cluster"); err != nil {
		return nil, err
	}
	for shard := range shards {
		for i := range nodesPerShard {
			zone := "abc"[i%3 : i%3+1]
			node, err := c.Database.AddNode(fmt.Sprintf("s-%d%c", shard, 'a'+i), zone, shard, coresPerNode, workPerCommand)
			if err != nil {
				return nil, errors.Join(err, c.Close())
			}
			c.Announce(node, "active")
		}
	}
	return c, nil
}

// Announce puts a node into the endpoint list as it is now, with a status.
func (c *Cluster) Announce(n *database.Node, status string) {
	role := "replica"
	if n.IsPrimary() {
		role = "primary"
	}
	c.Discovery.Update(discovery.Entry{Name: n.Name, Address: n.Address(), Zone: n.Zone, NodeType: "m", Shard: n.Shard,
		Status: status, Role: role, Weight: 1, StartedAtMillis: float64(n.StartedAt()) / 1000})
}

// Node returns a node by name; nil for none.
func (c *Cluster) Node(name string) *database.Node {
	for _, n := range c.Database.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Close stops routers and nodes, and removes the folder.
func (c *Cluster) Close() error {
	for _, r := range c.routers {
		r.Kill()
	}
	c.Database.Close()
	c.Discovery.Close()
	return os.RemoveAll(c.Folder)
}

// commandClass is one class of commands in a router's settings.
type commandClass struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	Aim    int     `json:"aim"`
	Limit  int     `json:"hardLimit"`
	Points float64 `json:"points"`
}

// configuration returns the settings that the platform gives a router.
func (c *Cluster) configuration(name, listen string, siblings int) ([]byte, error) {
	type object map[string]any
	return json.Marshal(object{"name": name, "listen": listen, "discovery": c.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{"az": "a", "siblings": siblings, "round": 5,
			"classes": []commandClass{{ClassReadAny, "safe", 400, 1000, 1}, {ClassReadOwn, "safe", 400, 1000, 1}, {ClassWrite, "unsafe", 400, 1000, 1}},
			"domain":  object{"readLevel": []string{"any", "session", "write"}, "oldestData": []int{0, 0, 0}, "writeMarks": "kept"},
			"limits":  object{"maxAttempts": 8, "cancel": true, "probes": true, "connectTimeout": 250, "connIdle": 15000},
			"report":  object{"how": "answers", "fields": []string{"x0", "x1", "inflight"}}}})
}

// StartRouter starts this program again as a router, with arguments and the operator's file, "" for none, and waits until it
// accepts commands. Its log goes to log.
func (c *Cluster) StartRouter(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	r, err := c.PrepareRouter(name, siblings, file, log, args...)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// PrepareRouter writes a router's files and returns it, ready to be started.
func (c *Cluster) PrepareRouter(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	raw, err := c.configuration(name, address, siblings)
	if err == nil {
		err = os.WriteFile(filepath.Join(c.Folder, name+".json"), raw, 0o600)
	}
	if err == nil && file != "" {
		path := filepath.Join(c.Folder, name+".sexp")
		args = append(args, "--file", path)
		err = os.WriteFile(path, []byte(file), 0o600)
	}
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: address, cluster: c, args: args, log: log}
	c.routers = append(c.routers, r)
	return r, nil
}
