// Package faultinject injects host faults into a process under test: steps of the wall clock, and failures of socket calls. The dynamic
// linker preloads a library that injects the faults, so the process must be linked dynamically. The library needs no privileges and
// affects only that process. The package requires Linux on x86-64, and gcc.
package faultinject

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Call is a system call that can be made to fail.
type Call int

// Calls that can be made to fail.
const (
	Accept Call = iota
	Connect
	Socket
	numCalls
)

// callFault has the layout of the struct of the same name in hostfault.c.
type callFault struct {
	oneIn  uint32
	errno  int32
	failed uint64
}

// control has the layout of the struct of the same name in hostfault.c.
type control struct {
	wallOffset int64 // nanoseconds
	calls      [numCalls]callFault
}

// Host is a simulated host of one or more processes that are started with the same Environment. Close releases its memory.
type Host struct {
	library string
	path    string // of the file that shares control with the processes
	memory  []byte // the mapped file
	control *control
}

// NewHost creates a host whose control file is in a folder. name must be unique in that folder. library is the path that Build returned.
func NewHost(library, dir, name string) (*Host, error) {
	path := filepath.Join(dir, name+".hostfault")
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size := int(unsafe.Sizeof(control{}))
	if err := file.Truncate(int64(size)); err != nil {
		return nil, err
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("hostfault: %w", err)
	}
	return &Host{library: library, path: path, memory: memory, control: (*control)(unsafe.Pointer(&memory[0]))}, nil
}

// Close releases the memory. Processes that are still running keep the last settings. The host must not be used afterwards.
func (h *Host) Close() error {
	h.control = nil
	return syscall.Munmap(h.memory)
}

// Environment returns the variables that must be added to the environment of a process. If sockets is set, its socket calls can be made to
// fail.
func (h *Host) Environment(sockets bool) []string {
	env := []string{"LD_PRELOAD=" + h.library, "HOSTFAULT_CONTROL=" + h.path}
	if sockets {
		env = append(env, "HOSTFAULT_SOCKETS=1")
	}
	return env
}

// StepWallClock steps the wall clock by a duration, forward or back. It does not affect the monotonic clock.
func (h *Host) StepWallClock(by time.Duration) { atomic.AddInt64(&h.control.wallOffset, int64(by)) }

// FailCalls makes one in oneIn calls fail with an error from now on. If oneIn is 0, no call fails.
func (h *Host) FailCalls(call Call, code syscall.Errno, oneIn uint32) {
	fault := &h.control.calls[call]
	atomic.StoreInt32(&fault.errno, int32(code))
	atomic.StoreUint32(&fault.oneIn, oneIn)
}

// FailedCalls returns how many calls of a kind have been made to fail so far.
func (h *Host) FailedCalls(call Call) uint64 { return atomic.LoadUint64(&h.control.calls[call].failed) }
