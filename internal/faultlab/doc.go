// Package faultlab runs experiments with many processes of the real router on loopback. A scenario defines the fleet, the
// traffic of its clients, and the faults that are injected, with their times: faults of links, processes, engines, hosts and
// the control group. A run of a scenario records a history of what clients, engines, links and control feeds observe;
// auditors search the history for violations, and metrics summarise it.
//
// Engines, control feeds and clients run in the process of the fault lab. Each connection between two processes goes through
// a relay (Link), where it can be delayed, blocked or reset.
package faultlab
