// Package simwire implements the protocol of the simulator, which runs the decision module through simulated days. Each line of
// input is a batch of events and each line of output is a reply with actions, both in JSON. The package maps the names on the wire
// to those of package decision and makes no decisions.
//
// A line that violates the protocol is an error, which ends the session. No invalid message or field is skipped.
package simwire
