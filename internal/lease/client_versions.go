package lease

import (
	"errors"
	"fmt"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// errPreviousMissing is returned for a version that can't be accepted yet: the version before it is in force, too, but was not received, so
// the intersection of the two is unknown.
var errPreviousMissing = errors.New("the one before it, which is still in force beside it, is missing")

// newest returns the newest version that the client has accepted, or nil.
func (c *Client) newest() *configversion.Version {
	if c.pending != nil {
		return c.pending
	}
	return c.activated
}

func (c *Client) newestNumber() uint64 {
	if newest := c.newest(); newest != nil {
		return newest.Number
	}
	return 0
}

// receiveVersion accepts a version, or rejects it and reports the reason. After a rejection the client is granted no further lease, since it
// does not know the newest version.
func (c *Client) receiveVersion(now time.Duration, v *configversion.Version, activated uint64) []ClientAction {
	c.streamFailures = 0
	if err := c.checkVersion(v, activated); err != nil {
		if errors.Is(err, errPreviousMissing) {
			c.scheduleStreamReopen(now)
		}
		return c.report(err.Error())
	}
	if v.Number <= c.newestNumber() {
		return nil // received out of order, or twice
	}
	c.lineage = v.Lineage
	if c.pending != nil { // at most two are in force: v was committed after the pending one was activated
		c.activated = c.pending
	}
	c.pending = v
	c.activate(v.Lineage, max(activated, v.Number-1))
	c.nextRenewal = min(c.nextRenewal, now) // acknowledges v without delay
	return nil
}

// checkVersion returns the reason for which a version is rejected, or nil.
func (c *Client) checkVersion(v *configversion.Version, activated uint64) error {
	if c.lineage != "" && v.Lineage != c.lineage {
		return fmt.Errorf("version %d turned down: it is of lineage %s, this router follows %s", v.Number, v.Lineage, c.lineage)
	}
	newest := c.newest()
	if newest == nil {
		if v.Number > 1 && v.Number > activated {
			return fmt.Errorf("version %d: %w", v.Number, errPreviousMissing)
		}
		return c.checkGuards(nil, v)
	}
	switch {
	case v.Number < newest.Number:
		return nil
	case v.Number > newest.Number+1 && v.Number > activated:
		return fmt.Errorf("version %d: %w", v.Number, errPreviousMissing)
	}
	if err := v.CheckFollows(newest); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	if v.Number == newest.Number {
		return nil
	}
	return c.checkGuards(newest.Rules, v)
}

// checkGuards applies the guards of this router's settings. The floor is not passed: only the control group checks it.
func (c *Client) checkGuards(previous *rules.Rules, v *configversion.Version) error {
	if err := c.settings.Guards.Check(previous, nil, v.Rules, v.ForcedGuards); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	return nil
}

// activate records that all versions of a lineage up to a number are activated.
func (c *Client) activate(lineage string, number uint64) {
	if lineage == "" || lineage != c.lineage {
		return
	}
	c.activatedNumber = max(c.activatedNumber, number)
	if c.pending != nil && c.pending.Number <= c.activatedNumber {
		c.activated = c.pending
		c.pending = nil
	}
}

// applyRules returns the rules to act on from now on, and whether they have changed.
func (c *Client) applyRules() (ApplyRules, bool) {
	configuration := c.activeConfiguration()
	if configuration == c.applied { // initially the zero value, which represents the local settings
		return ApplyRules{}, false
	}
	c.applied = configuration
	return ApplyRules{Rules: c.effectiveRules(configuration), Configuration: configuration}, true
}

func (c *Client) activeConfiguration() ActiveConfiguration {
	configuration := ActiveConfiguration{Leased: c.leaseExpiry > 0 && c.newest() != nil}
	if c.activated != nil {
		configuration.Activated = c.activated.Number
	}
	if c.pending != nil {
		configuration.Pending = c.pending.Number
	}
	return configuration
}

// effectiveRules returns the intersection of the versions in force. Without a lease it includes the local settings, and also before the first
// version is activated, since until then all routers act on their local settings.
func (c *Client) effectiveRules(configuration ActiveConfiguration) *rules.Rules {
	var effective *rules.Rules
	restrict := func(with *rules.Rules) {
		switch {
		case effective == nil:
			effective = with
		case with != nil:
			effective = rules.Intersect(effective, with)
		}
	}
	if c.activated != nil {
		restrict(c.activated.Rules)
	}
	if c.pending != nil {
		restrict(c.pending.Rules)
	}
	if !configuration.Leased || c.activated == nil {
		restrict(c.settings.LocalRules)
	}
	return effective
}
