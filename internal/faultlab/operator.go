package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

const (
	operatorStream  = 31 // stream of random numbers
	proposalTimeout = 15 * time.Second
	proposalShare   = 0.75 // of the run, from its start, in which versions are proposed
)

// initialRules returns the rules of the first version, which are looser than the routers' local rules.
func initialRules(routers int) *rules.Rules {
	r := &rules.Rules{
		Routers:                  routers,
		PriorityWeights:          map[string]float64{},
		OverQuotaFactor:          1,
		RetryBudgetShare:         1,
		RetryBudgetFree:          10,
		HealthChecksPerStatement: 2,
		SlowStartShare:           engineSlowStart.InitialShare,
		SlowStartMultiple:        engineSlowStart.MaxLoadFactor,
		SlowStartDurationMillis:  engineSlowStart.WarmUpTime.Milliseconds(),
		DrainGraceMillis:         1000,
	}
	for _, w := range workloads {
		r.PriorityWeights[w.name] = w.priorityWeight
		r.SheddableWorkloads = append(r.SheddableWorkloads, w.name)
	}
	return r
}

// localRules returns the rules of the routers' own settings, as far as the auditors need them, or nil if they are invalid.
func localRules(routers int) *rules.Rules {
	r := initialRules(routers)
	r.RetryBudgetShare = 0
	r.RetryBudgetFree = 0
	if r.Validate() != nil {
		return nil
	}
	return r
}

// proposeVersions proposes versions during the first proposalShare of the run. Each one tightens rules, loosens rules, or does both.
func (f *fleet) proposeVersions(ctx context.Context) error {
	s := f.scenario
	if s.ControlMembers == 0 || s.VersionInterval == 0 {
		return nil
	}
	r := initialRules(s.Routers)
	random := rand.New(rand.NewPCG(s.Seed, operatorStream))
	var proposals sync.WaitGroup
	defer proposals.Wait()
	at := 0.0
	for n := 0; at < s.Seconds*proposalShare; n++ {
		if err := f.waitUntil(ctx, at); err != nil {
			return err
		}
		at += s.VersionInterval * (0.5 + random.Float64())
		if n > 0 {
			changeRules(r, random, n)
		}
		if err := r.Validate(); err != nil {
			return err
		}
		entry := proposal(fmt.Sprintf("p%d", n), r)
		due := time.Since(f.began)
		if n == 0 { // later versions change the first one, so it is awaited
			f.propose(ctx, entry, due)
			continue
		}
		proposals.Go(func() { f.propose(ctx, entry, due) })
	}
	return nil
}

// proposal returns an entry that proposes rules and overrides the floor guard.
func proposal(id string, r *rules.Rules) configregister.Entry {
	return configregister.Entry{
		Kind:         configregister.EntryPropose,
		ID:           id,
		Rules:        r.Canonical(),
		ForcedGuards: []string{configversion.GuardFloor},
	}
}

// propose proposes a version. A proposal without a reply records no event, since it is unknown whether the version was written.
func (f *fleet) propose(ctx context.Context, entry configregister.Entry, due time.Duration) {
	client := adminclient.New(f.memberAddresses(), proposalTimeout)
	outcome, err := client.Propose(context.WithoutCancel(ctx), entry)
	if err != nil {
		return
	}
	f.record(Event{At: due, Kind: VersionProposed, Router: noRouter, Statement: entry.ID, Version: outcome.Number})
	f.record(Event{Kind: VersionAcknowledged, Router: noRouter, Statement: entry.ID, Version: outcome.Number})
}

// changeRules tightens or loosens some of the rules for the nth version.
func changeRules(r *rules.Rules, random *rand.Rand, n int) {
	scale := []float64{0.8, 1.25}[random.IntN(2)]
	switch random.IntN(4) {
	case 0:
		r.SlowStartMultiple = min(8, max(2, r.SlowStartMultiple*scale))
	case 1:
		r.HealthChecksPerStatement = min(4, max(1, r.HealthChecksPerStatement*scale))
	case 2:
		r.RetryBudgetShare = min(2, max(0.5, r.RetryBudgetShare*scale))
		r.SlowStartShare = min(0.31, max(0.1, r.SlowStartShare/scale))
	case 3:
		r.PriorityWeights["lookup"] = min(3, max(0.5, r.PriorityWeights["lookup"]*scale))
	}
	r.RetryBudgetFree = 10 + float64(n%2) // so that no version equals the previous one
}
