// Package estimate estimates what a router cannot observe directly: the load that other routers put on an engine, the
// rate of its own arrivals, and its share of the capacity of an engine in slow start. Routers exchange no messages for
// these estimates. Nothing in the package reads a clock, does I/O or starts a goroutine, and its types are not safe for
// concurrent use.
package estimate
