// Package simwire is the protocol of the bench, which plays simulated days against the decision module: one batch of events a
// line on the way in, one reply of actions a line on the way out, all JSON. It maps the names of the wire to those of package
// decision and decides nothing.
//
// A line that breaks the protocol is an error, which ends the session; nothing is skipped.
package simwire
