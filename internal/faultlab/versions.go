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
	recordInterval       = 300 * time.Millisecond
	recordTimeout        = 200 * time.Millisecond
	collectPatience      = 5 * time.Second
	collectTimeout       = time.Second
	collectStatusTimeout = 5 * time.Second
)

// errNoVersions: no member of the control group has answered.
var errNoVersions = errors.New("no member of the control group answers with its versions")

// recordVersions records the versions of the control group while it runs: the group itself keeps the last ones only.
func (f *fleet) recordVersions(ctx context.Context) {
	for ctx.Err() == nil {
		f.recordFirstAnswer(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(recordInterval):
		}
	}
}

// recordFirstAnswer records the versions of the first member that answers.
func (f *fleet) recordFirstAnswer(ctx context.Context) {
	for _, m := range f.members {
		list, err := adminclient.New([]string{m.clientAddress}, recordTimeout).Versions(context.WithoutCancel(ctx))
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

// collectVersions adds to a history what the control group has written by the end. A member that lags knows less than the group: all
// are asked until one has the version that the leader can prove to be the newest, or until the patience is over.
func (f *fleet) collectVersions(h *History) error {
	if f.schedule.ControlMembers == 0 {
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
	deadline := time.Now().Add(collectPatience)
	for have := uint64(0); have == 0 || have < newest && time.Now().Before(deadline); {
		have, err = f.askForVersions(addresses, have)
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

// askForVersions asks all members once, and returns the newest number that is known by then.
func (f *fleet) askForVersions(addresses []string, newest uint64) (uint64, error) {
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

// addVersion fails where another version of the same number is known.
func (f *fleet) addVersion(v *configversion.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.knownVersions[v.Number]; known != nil && known.Hash != v.Hash {
		return fmt.Errorf("two versions %d were seen", v.Number)
	}
	f.knownVersions[v.Number] = v
	return nil
}

// recordActiveRules records which versions a line of the router's log says that it acts on; other lines are skipped.
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
	at := event.TS.Sub(r.fleet.began.Round(0)) // both by the wall clock of the machine
	r.fleet.record(Event{
		At:        max(at, 1),
		Kind:      RulesApplied,
		Router:    r.index,
		Leased:    event.Leased,
		Activated: event.Activated,
		Version:   event.Pending,
	})
}
