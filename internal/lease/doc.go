// Package lease decides, for both sides, which version of the configuration a router may act on, so that no two routers act on conflicting
// rules for longer than a stated time, whatever fails.
//
// Client is a router's side, Coordinator that of the leader of the control group. Both are state machines: Step takes an event and
// returns the actions to carry out, in order. There is no I/O, no clock and no goroutine here; times are readings of the caller's own
// monotonic clock, counted from any fixed origin.
//
// A router acts on a version only while it holds a lease. It renews the lease by periodic requests, and counts it from when it sent the
// request; the coordinator counts it from when it received the request. A lease is granted only to a client that knows the newest
// version. So once the last lease on an older version has expired, which takes one lease duration, no router does any more what a new
// version forbids. What a new version permits takes effect only once the coordinator knows that these leases have expired and the version is
// activated; until then a router acts on the intersection of the two versions.
//
// The protocol and the proof of its bound are described in docs/control.md.
package lease
