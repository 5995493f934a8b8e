package serve

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// collectorShare is the part of the memory limit at which the collector works harder.
	collectorShare = 0.7
	// reservedSockets are descriptors for the listener, the poller, discovery and the runtime.
	reservedSockets = 32
	// clientShare is the part of the other descriptors for clients, the rest is for nodes: a command in flight takes one
	// at each side, and clients also hold some while they have none in flight.
	clientShare = 0.6

	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// resourceLimits are the process's, as the platform gives them.
type resourceLimits struct {
	memory            int64 // bytes
	sockets           int
	clientConnections int
	nodeConnections   int
}

// applyLimits sets the runtime's limits and divides the descriptors.
func applyLimits(c platformConfig) resourceLimits {
	if c.Limits.Cores > 0 { // and one for the poller, which sits in the kernel most of the time
		runtime.GOMAXPROCS(int(math.Ceil(c.Limits.Cores)) + 1)
	}
	memoryMB := c.Limits.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	sockets := c.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	limits := resourceLimits{memory: int64(memoryMB * (1 << 20)), sockets: sockets}
	limits.clientConnections = int(float64(sockets-reservedSockets) * clientShare)
	limits.nodeConnections = sockets - reservedSockets - limits.clientConnections
	debug.SetMemoryLimit(int64(float64(limits.memory) * collectorShare))
	return limits
}
