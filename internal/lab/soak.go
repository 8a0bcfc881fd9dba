package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// How a soak is drawn.
const (
	leastSoakRouters, mostSoakRouters = 10, 24
	leastSoakFaults, mostSoakFaults   = 6, 14
	soakSpan                          = 0.3 // of the length, the longest fault
	soakQuiet                         = 0.2 // of the length, at its end: no fault begins there
)

// soakFaults are the kinds of a soak; one that stands twice comes twice as often.
var soakFaults = []string{"clock", "clock", "clock", "accept-fails", "connect-fails", "socket-fails", "reload", "cut", "cut-there", "cut-back",
	"delay", "reset", "deaf", "feed", "kill", "stop", "stop", "term", "replace", "lose", "crawl", "err", "rush"}

// DrawSoak makes a schedule from a seed whose faults overlap in time: 10 to 24 routers, six to fourteen faults of all kinds, clients that
// leave, clocks that step by seconds or an hour either way, also before routers start anew.
func DrawSoak(seed uint64, seconds float64) *Schedule {
	r := rand.New(rand.NewPCG(seed, 39))
	between := func(least, most float64) float64 { return distuv.Uniform{Min: least, Max: most, Src: r}.Rand() }
	s := &Schedule{Name: fmt.Sprintf("soak seed %d", seed), Seed: seed, Routers: leastSoakRouters + r.IntN(mostSoakRouters-leastSoakRouters+1),
		Engines: 8, Seconds: seconds, Tries: r.IntN(3), Load: between(0.3, 0.6), Busiest: between(1, 4), Leavers: between(0, 0.2)}
	for range leastSoakFaults + r.IntN(mostSoakFaults-leastSoakFaults+1) {
		f := Fault{Kind: soakFaults[r.IntN(len(soakFaults))], At: between(0, 1-soakQuiet) * seconds}
		k := faultKinds[f.Kind]
		if k.span || f.Kind == "clock" && r.IntN(2) == 0 {
			f.For = between(0.03, soakSpan) * seconds
		}
		if k.routers {
			f.Routers = some(r, s.Routers, 1+r.IntN(s.Routers/2))
		}
		if k.engines {
			f.Engines = some(r, s.Engines, 1+r.IntN(s.Engines/2))
		}
		s.Faults = append(s.Faults, amounted(f, r, between))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
	return s
}

// amounted is a drawn fault with its amount, and with no more engines than the fleet can spare.
func amounted(f Fault, r *rand.Rand, between func(least, most float64) float64) Fault {
	switch f.Kind {
	case "clock":
		f.Amount = []float64{-3600, -400, -20, -3, 3, 20, 400, 3600}[r.IntN(8)]
	case "accept-fails", "connect-fails", "socket-fails":
		f.Amount = float64(2 + r.IntN(10))
	case "delay":
		f.Amount = between(0.05, 2)
	case "crawl":
		f.Amount = between(1.5, 6)
	case "rush":
		f.Amount = between(1.2, 2)
	case "replace", "lose":
		f.Engines = f.Engines[:min(2, len(f.Engines))]
	case "err":
		f.Engines = f.Engines[:1]
	}
	return f
}
