// Package decision is the interface between a router and its decision module: the IDs, the settings that an instance of
// the module gets at its start, the events that it receives and the actions that it returns. It contains no decisions
// and no tuned values; the decisions are in package policy.
//
// All times are durations since the start of a clock that the module's host keeps, unless a comment says otherwise.
// Memory is in megabytes. Work is the time that a statement takes on one thread of an idle engine.
package decision
