package fakes

import "time"

// SlowStart is how an engine starts: with a share of its cores, which grows until it has all of them. Sent more work in a window than so
// many times what it can do then, it collapses and stays down.
type SlowStart struct {
	InitialShare  float64
	MaxLoadFactor float64 // 4: four times what its cores can do in a window
	WarmUpTime    time.Duration
	Window        time.Duration
}

// warmShare is the share of its cores that the engine has.
func (e *SimulatedEngine) warmShare(now time.Time) float64 {
	s := e.SlowStart
	if s.WarmUpTime == 0 {
		return 1
	}
	return min(1, s.InitialShare+(1-s.InitialShare)*now.Sub(e.started).Seconds()/s.WarmUpTime.Seconds())
}

// addColdWork accounts work that is sent to a cold engine, and returns what was sent in the window over what it bears; 0: it is warm. The
// engine collapses when that is above 1.
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
	if load > 1 && !e.collapsed {
		e.collapsed = true
		e.notify(EngineEvent{Kind: Collapsed, ColdLoad: load})
		go e.Close()
	}
	return load
}
