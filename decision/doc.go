// Package decision is the interface between a router and the module that decides for it: the ids, the settings that
// an instance of the module is given at its start, the events that it receives and the actions that it answers with.
// It holds no decision and no tuned value; the decisions are in package policy.
//
// All times are durations since the start of a clock that the host of the module keeps, unless a comment says
// otherwise. Memory is in megabytes. Work is the time that a statement takes on one thread of an idle engine.
package decision
