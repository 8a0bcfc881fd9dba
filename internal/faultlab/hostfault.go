package faultlab

import (
	"math/rand/v2"
	"syscall"

	"bankledge/internal/faultinject"
)

// hostFaults are the faults that need the preloaded library: the calls that each fails, none for a step of the clock.
var hostFaults = map[string]struct {
	call   faultinject.Call
	errors []syscall.Errno
}{
	"clock":         {},
	"accept-fails":  {faultinject.Accept, []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}},
	"connect-fails": {faultinject.Connect, []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}},
	"socket-fails":  {faultinject.Socket, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}},
}

// needsHosts tells whether a schedule has faults of routers' hosts.
func (s *Schedule) needsHosts() bool {
	for _, f := range s.Faults {
		if _, ok := hostFaults[f.Kind]; ok {
			return true
		}
	}
	return false
}

// beginHostFault has a fault of routers' hosts begin; what it returns ends it.
func (f *field) beginHostFault(x Fault) (mend func() error) {
	kind := hostFaults[x.Kind]
	each := func(do func(*faultinject.Host)) {
		for _, i := range x.Routers {
			do(f.routers[i].host)
		}
	}
	if len(kind.errors) > 0 {
		each(func(h *faultinject.Host) {
			h.Fail(kind.call, kind.errors[rand.IntN(len(kind.errors))], uint32(x.Amount))
		})
		return func() error { each(func(h *faultinject.Host) { h.Fail(kind.call, 0, 0) }); return nil }
	}
	each(func(h *faultinject.Host) { h.StepWallClock(seconds(x.Amount)) })
	if x.For == 0 {
		return nil
	}
	return func() error { each(func(h *faultinject.Host) { h.StepWallClock(-seconds(x.Amount)) }); return nil }
}
