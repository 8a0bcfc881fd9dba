package proxy

import (
	"runtime"
	"runtime/debug"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/settings"
)

// Division of the machine's file descriptors and memory.
const (
	clientSocketsDivisor = 3    // 1/3 of the descriptors are for clients
	reservedSockets      = 24   // descriptors for the listener, the control feed, the log and the Go runtime
	attemptSocketShare   = 0.85 // share of the engines' descriptors for attempts; the rest is for cancels and health checks

	fingerprintDivisor = 32  // 1/32 of the memory is for the history of query fingerprints
	answeredIDsPerMB   = 64  // remembered ids of answered requests per MB of memory
	maxEstimateFactor  = 4   // a request may declare at most this multiple of the largest machine's memory
	memoryLimitShare   = 0.6 // share of the memory that is the runtime's soft limit: near it, garbage collections become more frequent
	gcPercent          = 400 // heap growth between two garbage collections while the heap is far below that limit
)

// resourceLimits holds the limit for each use of the machine's resources.
type resourceLimits struct {
	clientSockets    int
	engineSockets    int
	attempts         int // in flight at once
	fingerprintBytes int64
	answeredIDs      int // remembered
	flowControl      flowcontrol.Limits

	cores            float64
	memoryLimitBytes int64
}

func divideResources(machine settings.ResourceLimits) resourceLimits {
	memoryBytes := machine.MemoryMB << 20
	clientSockets := machine.Sockets / clientSocketsDivisor
	engineSockets := machine.Sockets - clientSockets - reservedSockets
	return resourceLimits{
		clientSockets:    clientSockets,
		engineSockets:    engineSockets,
		attempts:         int(attemptSocketShare * float64(engineSockets)),
		fingerprintBytes: memoryBytes / fingerprintDivisor,
		answeredIDs:      answeredIDsPerMB * int(machine.MemoryMB),
		flowControl:      flowcontrol.DeriveLimits(machine.MemoryMB, clientSockets),
		cores:            machine.Cores,
		memoryLimitBytes: int64(memoryLimitShare * float64(memoryBytes)),
	}
}

// applyToRuntime sets the process-wide limits of the Go runtime.
func (l resourceLimits) applyToRuntime() {
	runtime.GOMAXPROCS(max(1, int(l.cores+0.5)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.memoryLimitBytes)
}
