package faultlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bankledge/internal/adminclient"
	"bankledge/internal/configversion"
	"bankledge/internal/logevent"
)

const (
	versionPollInterval   = 300 * time.Millisecond
	versionPollTimeout    = 200 * time.Millisecond
	collectCatchUpTimeout = 5 * time.Second
	collectTimeout        = time.Second
	collectStatusTimeout  = 5 * time.Second
)

// errNoVersions reports that no member of the control group has replied.
var errNoVersions = errors.New("no member of the control group returned its versions")

// recordVersions polls and records the versions of the control group during the run, because the group keeps only the latest ones.
func (f *fleet) recordVersions(ctx context.Context) {
	for ctx.Err() == nil {
		f.recordFirstReply(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(versionPollInterval):
		}
	}
}

// recordFirstReply records the versions of the first member that replies.
func (f *fleet) recordFirstReply(ctx context.Context) {
	for _, m := range f.members {
		list, err := adminclient.New([]string{m.clientAddress}, versionPollTimeout).Versions(context.WithoutCancel(ctx))
		if err != nil {
			continue
		}
		f.mu.Lock()
		for _, v := range list.Versions {
			f.knownVersions[v.Number] = v
		}
		f.mu.Unlock()
		return
	}
}

// collectVersions adds to a history the versions that the control group has written by the end of the run. A lagging member may lack the
// newest versions, so all members are queried until one returns the newest version that the leader reports, or until
// collectCatchUpTimeout.
func (f *fleet) collectVersions(h *History) error {
	if f.scenario.ControlMembers == 0 {
		return nil
	}
	var addresses []string
	for _, m := range f.members {
		if !m.lost {
			addresses = append(addresses, m.clientAddress)
		}
	}
	newest := uint64(0)
	status, err := adminclient.New(addresses, collectStatusTimeout).Status(context.Background())
	if err == nil && status.IsLeader {
		newest = status.NewestVersion
	}
	deadline := time.Now().Add(collectCatchUpTimeout)
	for have := uint64(0); have == 0 || have < newest && time.Now().Before(deadline); {
		have, err = f.queryVersions(addresses, have)
		if err != nil {
			return err
		}
		if have == 0 && time.Now().After(deadline) {
			return errNoVersions
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(f.knownVersions)) {
		h.Versions = append(h.Versions, f.knownVersions[number])
	}
	return nil
}

// queryVersions queries all members once, and returns the newest version number seen so far.
func (f *fleet) queryVersions(addresses []string, newest uint64) (uint64, error) {
	for _, address := range addresses {
		list, err := adminclient.New([]string{address}, collectTimeout).Versions(context.Background())
		if err != nil {
			continue
		}
		for _, v := range list.Versions {
			if err := f.addVersion(v); err != nil {
				return 0, err
			}
			newest = max(newest, v.Number)
		}
	}
	return newest, nil
}

// addVersion records a version. It fails if a different version with the same number is known.
func (f *fleet) addVersion(v *configversion.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.knownVersions[v.Number]; known != nil && known.Hash != v.Hash {
		return fmt.Errorf("two different versions have the number %d", v.Number)
	}
	f.knownVersions[v.Number] = v
	return nil
}

// recordActiveRules records a change of the router's active rules from a line of its log. It ignores other lines.
func (r *router) recordActiveRules(line []byte) {
	var event struct {
		Msg       string
		TS        time.Time
		Leased    bool
		Activated uint64
		Pending   uint64
	}
	if json.Unmarshal(line, &event) != nil || event.Msg != logevent.ActiveRulesChanged {
		return
	}
	at := event.TS.Sub(r.fleet.began.Round(0)) // both read from the wall clock of the machine
	r.fleet.record(Event{
		At:        max(at, 1),
		Kind:      RulesApplied,
		Router:    r.index,
		Leased:    event.Leased,
		Activated: event.Activated,
		Version:   event.Pending,
	})
}
