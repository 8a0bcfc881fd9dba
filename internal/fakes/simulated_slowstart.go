package fakes

import "time"

// SlowStart describes how a cold engine warms up: it starts with a share of its cores, which grows until it has all of them. If the work
// sent within a window exceeds MaxLoadFactor times the work that its cores can do in that window, the engine collapses and stays down.
type SlowStart struct {
	InitialShare  float64
	MaxLoadFactor float64 // 4 means four times the work that its cores can do in a window
	WarmUpTime    time.Duration
	Window        time.Duration
}

// warmShare returns the share of its cores that the engine can use.
func (e *SimulatedEngine) warmShare(now time.Time) float64 {
	s := e.SlowStart
	if s.WarmUpTime == 0 {
		return 1
	}
	return min(1, s.InitialShare+(1-s.InitialShare)*now.Sub(e.started).Seconds()/s.WarmUpTime.Seconds())
}

// addColdWork records work that is sent to a cold engine, and returns the work sent in the window divided by the work that the engine
// tolerates, or 0 if the engine is warm. The engine collapses if the result is above 1.
func (e *SimulatedEngine) addColdWork(work time.Duration) (load float64) {
	s := e.SlowStart
	now := time.Now()
	share := e.warmShare(now)
	if share >= 1 || s.Window == 0 {
		return 0
	}
	at := now.Sub(e.started)
	e.coldWork.Add(at, work.Seconds())
	load = e.coldWork.Since(at-s.Window) / (s.MaxLoadFactor * share * e.Cores * s.Window.Seconds())
	if load > 1 && !e.overloaded {
		e.overloaded = true
		e.notify(EngineEvent{Kind: ColdEngineOverloaded, ColdLoad: load})
		go e.Close()
	}
	return load
}
