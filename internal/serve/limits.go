package serve

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// gcMemoryShare is the fraction of the usable memory that is set as the Go runtime's soft limit, near which the garbage
	// collector runs more often.
	gcMemoryShare = 0.7
	// programMemory is what the process holds beside the Go runtime's memory, in bytes: the resident pages of the
	// executable and of the C library.
	programMemory = 12 << 20
	// minUsableShare is the smallest fraction of the memory limit that is used, however small the limit is.
	minUsableShare = 0.25
	// reservedSockets is the number of file descriptors kept for the listener, the poller, discovery and the runtime.
	reservedSockets = 32
	// clientShare is the fraction of the remaining descriptors that client connections may use; node connections get the
	// rest. A command in flight uses one descriptor on each side; clients get more because idle ones keep theirs too.
	clientShare = 0.6

	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// resourceLimits are the limits of the process, derived from those in the platform's configuration.
type resourceLimits struct {
	cores             int
	memory            int64 // bytes
	usableMemory      int64 // bytes of memory that is left for the Go runtime
	sockets           int
	clientConnections int
	nodeConnections   int
}

// applyLimits sets the Go runtime's limits and divides the file descriptors between clients and nodes.
func applyLimits(c platformConfig) resourceLimits {
	cores := runtime.GOMAXPROCS(0)
	if c.Limits.Cores > 0 {
		cores = int(math.Ceil(c.Limits.Cores))
		runtime.GOMAXPROCS(cores + 1) // one may be in the kernel
	}
	memoryMB := c.Limits.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	sockets := c.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	limits := resourceLimits{cores: cores, memory: int64(memoryMB * (1 << 20)), sockets: sockets}
	limits.usableMemory = max(limits.memory-programMemory, int64(minUsableShare*float64(limits.memory)))
	limits.clientConnections = int(float64(sockets-reservedSockets) * clientShare)
	limits.nodeConnections = sockets - reservedSockets - limits.clientConnections
	debug.SetMemoryLimit(int64(float64(limits.usableMemory) * gcMemoryShare))
	return limits
}
