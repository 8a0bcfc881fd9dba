package faultlab

import (
	"math/rand/v2"
	"syscall"

	"bankledge/internal/faultinject"
)

// hostFault is a fault of a simulated host, which requires the preloaded library.
type hostFault struct {
	call   faultinject.Call
	errors []syscall.Errno // candidates for the error of the call; empty: the fault steps the wall clock
}

var hostFaults = map[FaultKind]hostFault{
	faultStepClock:   {},
	faultFailAccept:  {faultinject.Accept, []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}},
	faultFailConnect: {faultinject.Connect, []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}},
	faultFailSocket:  {faultinject.Socket, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}},
}

// needsHosts reports whether the scenario has faults of routers' hosts.
func (s *Scenario) needsHosts() bool {
	for _, f := range s.Faults {
		if _, ok := hostFaults[f.Kind]; ok {
			return true
		}
	}
	return false
}

// injectHostFault begins a fault of routers' hosts. repair ends it, and is nil if the fault is permanent.
func (f *fleet) injectHostFault(fault Fault) (repair func() error) {
	if len(hostFaults[fault.Kind].errors) > 0 {
		return f.failCalls(fault)
	}
	step := seconds(fault.Amount)
	f.eachHost(fault, func(h *faultinject.Host) { h.StepWallClock(step) })
	if fault.For == 0 {
		return nil
	}
	return func() error {
		f.eachHost(fault, func(h *faultinject.Host) { h.StepWallClock(-step) })
		return nil
	}
}

// failCalls makes one in fault.Amount calls fail. It draws the error for each host.
func (f *fleet) failCalls(fault Fault) (repair func() error) {
	kind := hostFaults[fault.Kind]
	f.eachHost(fault, func(h *faultinject.Host) {
		h.FailCalls(kind.call, kind.errors[rand.IntN(len(kind.errors))], uint32(fault.Amount))
	})
	return func() error {
		f.eachHost(fault, func(h *faultinject.Host) { h.FailCalls(kind.call, 0, 0) })
		return nil
	}
}

func (f *fleet) eachHost(fault Fault, do func(*faultinject.Host)) {
	for _, i := range fault.Routers {
		do(f.routers[i].host)
	}
}
