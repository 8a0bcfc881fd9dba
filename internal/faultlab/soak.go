package faultlab

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
	mostSoakWork                      = 6.0 // times the usual: what runs for long is out when faults come
	mostSoakPatience                  = 3.0 // times the usual: what is lost goes elsewhere while its client still waits
	soakSpan                          = 0.3 // of the length, the longest fault
	soakQuiet                         = 0.2 // of the length, at its end: no fault begins there
	soakFlaps                         = 6   // steps of a wall clock that flaps, while links are cut
	soakFlapEvery                     = 0.3 // seconds, the longest time between two of them
)

// soakSilences are the faults that leave routers without a word from engines: what counts as over then rests on spans of time.
var soakSilences = []string{"cut", "cut-back", "cut-there"}

// soakFaults are the kinds of a soak; one that stands twice comes twice as often.
var soakFaults = []string{"clock", "clock", "clock", "accept-fails", "connect-fails", "socket-fails", "reload", "cut", "cut-there", "cut-back",
	"delay", "reset", "deaf", "feed", "kill", "stop", "stop", "term", "replace", "lose", "crawl", "err", "rush"}

// DrawSoak makes a schedule from a seed whose faults overlap in time: 10 to 24 routers, six to fourteen faults of all kinds, clients that
// leave, clocks that step by seconds or an hour either way, also before routers start anew.
func GenerateSoakSchedule(seed uint64, seconds float64) *Schedule {
	r := rand.New(rand.NewPCG(seed, 39))
	between := func(least, most float64) float64 { return distuv.Uniform{Min: least, Max: most, Src: r}.Rand() }
	s := &Schedule{Name: fmt.Sprintf("soak seed %d", seed), Seed: seed, Routers: leastSoakRouters + r.IntN(mostSoakRouters-leastSoakRouters+1),
		Engines: 8, Seconds: seconds, Retries: r.IntN(3), Load: between(0.3, 0.6), BusiestFactor: between(1, 4), CancelShare: between(0, 0.2),
		WorkFactor: between(1, mostSoakWork), PatienceFactor: between(1, mostSoakPatience)}
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
		f = amounted(f, r, between)
		s.Faults = append(s.Faults, f)
		if slices.Contains(soakSilences, f.Kind) {
			s.Faults = append(s.Faults, flaps(f, seconds, r, between)...)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
	return s
}

// flaps are steps of the wall clocks of the routers that another fault hits, there and back, while it lasts.
func flaps(during Fault, length float64, r *rand.Rand, between func(least, most float64) float64) (list []Fault) {
	amount := []float64{3, 20, 400, 3600}[r.IntN(4)]
	for at := during.At; len(list) < soakFlaps; amount = -amount {
		at = min(at+between(0.05, soakFlapEvery), length)
		list = append(list, Fault{Kind: "clock", At: at, Routers: during.Routers, Amount: amount})
	}
	return list
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
