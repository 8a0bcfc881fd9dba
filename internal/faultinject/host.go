// Package faultinject injects the faults of a bad host into a process under test: a wall clock that steps, and socket calls that fail. It
// works by a library that the dynamic linker preloads, so the process has to be linked dynamically. It needs no privileges, and
// touches nothing but that process. It needs Linux on x86-64, and gcc.
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

// Call is a system call that may be made to fail.
type Call int

// The calls that may fail.
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

// Host is what one process, and those started after it with the same environment, take for their host. Close gives its memory back.
type Host struct {
	library string
	path    string // of the file through which control is shared
	memory  []byte // the file, mapped
	control *control
}

// NewHost prepares a host whose control file lies in a folder. name sets it apart from others there. library is the path that Build returned.
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

// Close gives the memory back. Processes that were started go on with what was set last. The host must not be used afterwards.
func (h *Host) Close() error {
	h.control = nil
	return syscall.Munmap(h.memory)
}

// Environment returns what a process has to be started with, beside its own environment. sockets: its socket calls may be failed, too.
func (h *Host) Environment(sockets bool) []string {
	env := []string{"LD_PRELOAD=" + h.library, "HOSTFAULT_CONTROL=" + h.path}
	if sockets {
		env = append(env, "HOSTFAULT_SOCKETS=1")
	}
	return env
}

// StepWallClock moves the wall clock by a duration, forwards or back. The monotonic clock runs on.
func (h *Host) StepWallClock(by time.Duration) { atomic.AddInt64(&h.control.wallOffset, int64(by)) }

// Fail has one in so many calls fail with an error from now on; oneIn 0: none does.
func (h *Host) Fail(call Call, with syscall.Errno, oneIn uint32) {
	fault := &h.control.calls[call]
	atomic.StoreInt32(&fault.errno, int32(with))
	atomic.StoreUint32(&fault.oneIn, oneIn)
}

// Failed is how many calls have failed so far.
func (h *Host) Failed(call Call) uint64 { return atomic.LoadUint64(&h.control.calls[call].failed) }
