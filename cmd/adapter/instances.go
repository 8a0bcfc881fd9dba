package main

import (
	"fmt"
	"runtime/debug"
	"time"

	"bankledge/decision"
	"bankledge/internal/simwire"
	"bankledge/policy"
)

// instances holds the running modules by the simulator's instance numbers.
type instances map[int]*policy.Module

// handle passes one instance its inputs of a batch and returns its actions. If the module panics, the last action is a Crash.
func (m instances) handle(now time.Duration, in simwire.InstanceInputs) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = append(actions, decision.Crash{Text: fmt.Sprintf("%v\n%s", p, debug.Stack())})
		}
	}()
	var events []decision.Event
	flush := func() {
		if module := m[in.Instance]; module != nil && len(events) > 0 {
			actions = append(actions, module.Handle(now, events)...)
		}
		events = nil
	}
	for _, input := range in.Inputs {
		switch {
		case input.Settings != nil:
			flush()
			m[in.Instance] = policy.New(input.Settings.Settings)
		case input.Stop:
			flush()
			delete(m, in.Instance)
			actions = nil // a killed instance's actions in this batch are discarded
		default:
			events = append(events, input.Event)
		}
	}
	flush()
	return actions
}
