// Package faultlab runs experiments with many processes of the real router on loopback. A schedule says which fleet is
// started, which traffic its clients send, and which faults are injected when: faults of links, processes, engines, hosts
// and the control group. Playing a schedule leaves a history of what clients, engines, links and control feeds observed;
// auditors search a history for violations, and metrics summarise it.
//
// Engines, control feeds and clients run in the process of the lab. Each connection between two processes passes a relay
// (Link), where it can be delayed, blocked or reset.
package faultlab
