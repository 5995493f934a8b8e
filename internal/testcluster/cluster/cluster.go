// Package cluster runs a complete deployment on free loopback ports, for the demo, proofs and tests: simulated database nodes, a
// simulated service discovery, and router processes in front of the nodes.
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

// Names of the command classes that every cluster configures.
const (
	ClassReadAny = "board"
	ClassReadOwn = "own"
	ClassWrite   = "entry"
)

const (
	drainGrace    = 2_000_000              // us after the start of a drain from which on a node must not receive commands
	startTimeout  = 10 * time.Second       // until a router must be ready
	stopTimeout   = 3 * time.Second        // until a router must have shut down after SIGTERM
	clientTimeout = 900 * time.Millisecond // of clients, per command
)

// Config describes a cluster. Zero values stand for the defaults in the comments.
type Config struct {
	Seed           uint64
	Shards         int           // no default
	NodesPerShard  int           // no default
	CoresPerNode   int           // 4
	WorkPerCommand time.Duration // time for which a command occupies a core of a node; 2 ms
	RouterMemoryMB int           // memory limit in the routers' configuration; 192
	RouterProgram  string        // executable of the routers; this program's executable
	CarriedTokens  bool          // whether clients carry their sessions' tokens; otherwise routers keep them
}

func (c Config) withDefaults() Config {
	if c.CoresPerNode == 0 {
		c.CoresPerNode = 4
	}
	if c.WorkPerCommand == 0 {
		c.WorkPerCommand = 2 * time.Millisecond
	}
	if c.RouterMemoryMB == 0 {
		c.RouterMemoryMB = 192
	}
	return c
}

// Cluster holds the nodes, their service discovery and the routers in front of them.
type Cluster struct {
	Database  *database.Cluster
	Discovery *discovery.Server
	Folder    string // holds the routers' files; Close removes it
	config    Config
	routers   []*Router
}

// New starts a cluster without routers. It has the given number of shards and of nodes per shard; the first node of each shard
// is its primary.
func New(seed uint64, shards, nodesPerShard int) (*Cluster, error) {
	return NewFromConfig(Config{Seed: seed, Shards: shards, NodesPerShard: nodesPerShard})
}

// NewFromConfig starts a cluster without routers. The first node of each shard is its primary.
func NewFromConfig(config Config) (*Cluster, error) {
	config = config.withDefaults()
	c := &Cluster{Database: database.New(config.Seed, drainGrace), config: config}
	var err error
	if c.Discovery, err = discovery.Start(); err != nil {
		return nil, err
	}
	if c.Folder, err = os.MkdirTemp("", "cluster"); err != nil {
		return nil, err
	}
	for shard := range config.Shards {
		for i := range config.NodesPerShard {
			zone := "abc"[i%3 : i%3+1]
			node, err := c.Database.AddNode(fmt.Sprintf("s-%d%c", shard, 'a'+i), zone, shard, config.CoresPerNode, config.WorkPerCommand)
			if err != nil {
				return nil, errors.Join(err, c.Close())
			}
			c.Announce(node, "active")
		}
	}
	return c, nil
}

// Announce publishes a node's current state in the endpoint list, with the given status.
func (c *Cluster) Announce(n *database.Node, status string) {
	role := "replica"
	if n.IsPrimary() {
		role = "primary"
	}
	c.Discovery.Update(discovery.Entry{Name: n.Name, Address: n.Address(), Zone: n.Zone, NodeType: "m", Shard: n.Shard,
		Status: status, Role: role, Weight: 1, StartedAtMillis: float64(n.StartedAt()) / 1000})
}

// Node returns the node with a name, nil if there is none.
func (c *Cluster) Node(name string) *database.Node {
	for _, n := range c.Database.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Close kills the routers, stops the nodes and the service discovery, and removes the folder.
func (c *Cluster) Close() error {
	for _, r := range c.routers {
		r.Kill()
	}
	c.Database.Close()
	c.Discovery.Close()
	return os.RemoveAll(c.Folder)
}

// commandClass is a command class in the settings of a router.
type commandClass struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	Aim    int     `json:"aim"`
	Limit  int     `json:"hardLimit"`
	Points float64 `json:"points"`
}

// configuration returns the platform configuration of a router, encoded as JSON.
func (c *Cluster) configuration(name, listen string, siblings int) ([]byte, error) {
	type object map[string]any
	writeMarks := "kept"
	if c.config.CarriedTokens {
		writeMarks = "carried"
	}
	return json.Marshal(object{"name": name, "listen": listen, "discovery": c.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": c.config.RouterMemoryMB, "sockets": 1024},
		"settings": object{"az": "a", "siblings": siblings, "round": 5,
			"classes": []commandClass{{ClassReadAny, "safe", 400, 1000, 1}, {ClassReadOwn, "safe", 400, 1000, 1}, {ClassWrite, "unsafe", 400, 1000, 1}},
			"domain":  object{"readLevel": []string{"any", "session", "write"}, "oldestData": []int{0, 0, 0}, "writeMarks": writeMarks},
			"limits":  object{"maxAttempts": 8, "cancel": true, "probes": true, "connectTimeout": 250, "connIdle": 15000},
			"report":  object{"how": "answers", "fields": []string{"x0", "x1", "inflight"}}}})
}

// StartRouter starts a router process from this program's executable, with the given arguments and the contents of the
// operator's file ("" for no file), and waits until it accepts commands. The router's log is written to log.
func (c *Cluster) StartRouter(name string, siblings int, operatorFile string, log io.Writer, args ...string) (*Router, error) {
	r, err := c.PrepareRouter(name, siblings, operatorFile, log, args...)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// PrepareRouter writes a router's files and returns the router without starting it.
func (c *Cluster) PrepareRouter(name string, siblings int, operatorFile string, log io.Writer, args ...string) (*Router, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config, err := c.configuration(name, address, siblings)
	if err == nil {
		err = os.WriteFile(filepath.Join(c.Folder, name+".json"), config, 0o600)
	}
	if err == nil && operatorFile != "" {
		path := filepath.Join(c.Folder, name+".sexp")
		args = append(args, "--file", path)
		err = os.WriteFile(path, []byte(operatorFile), 0o600)
	}
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: address, cluster: c, args: args, log: log}
	c.routers = append(c.routers, r)
	return r, nil
}
