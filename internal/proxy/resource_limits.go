package proxy

import (
	"runtime"
	"runtime/debug"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/settings"
)

// How the machine's file descriptors and memory are divided.
const (
	clientSocketsDivisor = 3    // 1/3 of the descriptors are for clients
	reservedSockets      = 24   // descriptors for the listener, the control feed, the log and the runtime's own
	attemptSocketShare   = 0.85 // of the engines' descriptors, for attempts; the rest is for cancels and health checks

	partialFrameDivisor = 12  // 1/12 of the memory is for large frames that have not been received completely
	fingerprintDivisor  = 32  // 1/32 of the memory is for the history of query fingerprints
	answeredIDsPerMB    = 64  // ids of answered requests that are remembered for each MB of memory
	maxEstimateFactor   = 4   // times the memory of the largest machine that a request may declare
	heapShare           = 0.6 // of the memory, towards which the runtime collects garbage ever harder
	heapGrowthPercent   = 400 // between two collections, as long as the heap is far below that
)

// resourceLimits are the bounds of each use of the machine's resources.
type resourceLimits struct {
	clientSockets     int
	engineSockets     int
	attempts          int   // in flight at once
	partialFrameBytes int64 // of large frames that have not been received completely, over all connections
	fingerprintBytes  int64
	answeredIDs       int // remembered
	flowControl       flowcontrol.Limits

	cores     float64
	heapBytes int64
}

func divideResources(machine settings.ResourceLimits) resourceLimits {
	memoryBytes := machine.MemoryMB << 20
	clientSockets := machine.Sockets / clientSocketsDivisor
	engineSockets := machine.Sockets - clientSockets - reservedSockets
	return resourceLimits{
		clientSockets:     clientSockets,
		engineSockets:     engineSockets,
		attempts:          int(attemptSocketShare * float64(engineSockets)),
		partialFrameBytes: memoryBytes / partialFrameDivisor,
		fingerprintBytes:  memoryBytes / fingerprintDivisor,
		answeredIDs:       answeredIDsPerMB * int(machine.MemoryMB),
		flowControl:       flowcontrol.DeriveLimits(machine.MemoryMB, clientSockets),
		cores:             machine.Cores,
		heapBytes:         int64(heapShare * float64(memoryBytes)),
	}
}

// applyToRuntime sets the limits that the Go runtime keeps for the whole process.
func (l resourceLimits) applyToRuntime() {
	runtime.GOMAXPROCS(max(1, int(l.cores+0.5)))
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(l.heapBytes)
}
