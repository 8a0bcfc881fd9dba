// Package estimate holds what a router estimates of what it cannot see: the load that other routers put on an engine,
// the rate of its own arrivals, and its share of what an engine in slow start can take. Routers exchange no messages
// for any of these. Nothing here has a clock, does I/O or starts a goroutine; one goroutine at a time may use a value.
package estimate
