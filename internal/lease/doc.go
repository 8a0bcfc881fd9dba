// Package lease implements both sides of the lease protocol. The protocol decides which configuration version a router may act on, so that no
// two routers act on conflicting rules for longer than a bounded time (Durations.MaxContradiction), whatever fails.
//
// Client is the router's side, Coordinator the side of the control group's leader. Both are state machines: Step takes an event and returns
// the actions to carry out, in order. The package does no I/O, reads no clock and starts no goroutine. Times are readings of the caller's own
// monotonic clock, counted from any fixed origin.
//
// A router that holds a lease acts on the version; a router without one acts on the intersection of the version and its local settings. A
// router renews its lease periodically, and counts it from when it sent the renewal; the coordinator counts it from when it received the
// renewal. A lease is granted only to a client that knows the newest version. So after one lease duration the last lease on an older version
// has expired, and no router does what the new version forbids. What the new version permits takes effect only after the coordinator knows that
// these leases have expired, and activates the version; until then a router acts on the intersection of the two versions.
//
// docs/control.md describes the protocol and proves the bound.
package lease
