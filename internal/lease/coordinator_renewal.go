package lease

import (
	"fmt"
	"slices"
	"time"

	"bankledge/internal/configregister"
)

// maxWaitingRequests bounds the requests that are received after the last ConfirmLeadership.
const maxWaitingRequests = 8192

// request is a renewal, or a request for a leadership check, that waits for a confirmation of leadership.
type request struct {
	callID     uint64
	receivedAt time.Duration // a granted lease counts from here
	renewal    Renewal       // zero for a leadership check
	checkOnly  bool          // set for a leadership check, which is granted no lease
}

// respond returns the action that answers the request.
func (r request) respond(reply Reply) CoordinatorAction {
	if r.checkOnly {
		return SendOutcome{CallID: r.callID, Outcome: configregister.Outcome{Number: reply.Newest, Error: reply.RejectReason}}
	}
	return SendReply{CallID: r.callID, Reply: reply}
}

// receiveRenewal queues a renewal until a quorum confirms that this process still led after it received the renewal.
func (c *Coordinator) receiveRenewal(now time.Duration, event RenewalReceived) []CoordinatorAction {
	if err := c.checkAdmission(event.Renewal); err != nil {
		reply := Reply{Seq: event.Renewal.Seq, Lineage: c.lineage, RejectReason: err.Error()}
		return []CoordinatorAction{SendReply{CallID: event.CallID, Reply: reply}}
	}
	c.unconfirmed = append(c.unconfirmed, request{callID: event.CallID, receivedAt: now, renewal: event.Renewal})
	return nil
}

// checkAdmission returns the reason for which a renewal can't be queued, or nil.
func (c *Coordinator) checkAdmission(renewal Renewal) error {
	switch {
	case !c.isLeader:
		return ErrNotLeader
	case !renewal.valid():
		return errInvalidRenewal
	case len(c.unconfirmed) >= maxWaitingRequests:
		return errTooManyRouters
	case c.sessions[renewal.Incarnation] == nil && len(c.sessions) >= maxSessions:
		return errTooManyRouters
	}
	return nil
}

func (c *Coordinator) receiveLeadershipCheck(now time.Duration, callID uint64) []CoordinatorAction {
	check := request{callID: callID, receivedAt: now, checkOnly: true}
	if !c.isLeader || len(c.unconfirmed) >= maxWaitingRequests {
		return []CoordinatorAction{check.respond(Reply{RejectReason: ErrNotLeader.Error()})}
	}
	c.unconfirmed = append(c.unconfirmed, check)
	return nil
}

// confirmLeadership requests one confirmation for all waiting requests. Only one is outstanding at a time. If it is overdue, another is
// requested, and requests that are older than a lease duration are dropped, since a lease for them would have expired.
func (c *Coordinator) confirmLeadership(now time.Duration) []CoordinatorAction {
	if len(c.confirming)+len(c.unconfirmed) == 0 {
		return nil
	}
	if len(c.confirming) > 0 && now < c.confirmationSentAt+c.durations.ReplyTimeout {
		return nil
	}
	c.confirming = append(c.confirming, c.unconfirmed...)
	c.unconfirmed = nil
	c.confirming = slices.DeleteFunc(c.confirming, func(r request) bool {
		return now >= r.receivedAt+c.durations.LeaseDuration
	})
	c.confirmationToken++
	c.confirmationSentAt = now
	return []CoordinatorAction{ConfirmLeadership{c.confirmationToken}}
}

// receiveConfirmation answers the requests that were received before the confirmation was requested. The confirmation of an earlier token is
// ignored, since it does not prove that this process led after their receipt.
func (c *Coordinator) receiveConfirmation(now time.Duration, token uint64) []CoordinatorAction {
	if token != c.confirmationToken {
		return nil
	}
	var actions []CoordinatorAction
	for _, r := range c.confirming {
		if r.checkOnly {
			actions = append(actions, r.respond(Reply{Newest: c.newest}))
		} else {
			actions = append(actions, r.respond(c.grant(now, r)))
		}
	}
	c.confirming = nil
	return actions
}

// grant returns the reply to a renewal. A client that knows the newest version is granted a lease, which counts from the receipt of the
// renewal.
func (c *Coordinator) grant(now time.Duration, r request) Reply {
	renewal := r.renewal
	reply := Reply{Seq: renewal.Seq, Lineage: c.lineage, Newest: c.newest, Activated: c.activated}
	session, err := c.session(renewal.Incarnation)
	if err != nil {
		reply.RejectReason = err.Error()
		return reply
	}
	session.Name = renewal.Name
	session.LastMessage = renewal.LastMessage
	session.LastRenewal = now
	if err := c.checkRenewal(renewal); err != nil {
		reply.RejectReason = err.Error()
		return reply
	}
	if renewal.KnownVersion == 0 || renewal.KnownVersion < c.newest {
		// The client has to catch up first. Its present lease stays valid, since this may be an older renewal that was delayed.
		return reply
	}
	session.KnownVersion = max(session.KnownVersion, renewal.KnownVersion)
	session.Expiry = max(session.Expiry, r.receivedAt+c.durations.CoordinatorLease())
	reply.Granted = true
	return reply
}

// checkRenewal returns the reason for which this group can't grant the client a lease even after the client has caught up, or nil.
func (c *Coordinator) checkRenewal(renewal Renewal) error {
	switch {
	case renewal.DurationsKey != c.durations.CompatibilityKey():
		return fmt.Errorf("the router counts on %q, this group on %q", renewal.DurationsKey, c.durations.CompatibilityKey())
	case renewal.Lineage != "" && renewal.Lineage != c.lineage:
		return fmt.Errorf("this group is of lineage %s, the router follows %s", c.lineage, renewal.Lineage)
	case renewal.KnownVersion > c.newest:
		return fmt.Errorf("this group's newest version is %d, the router knows %d: the group was restored from a backup",
			c.newest, renewal.KnownVersion)
	case renewal.KnownVersion == c.newest && renewal.KnownVersion > 0 && renewal.KnownHash != c.newestHash:
		return fmt.Errorf("this group's version %d is another one than the router's", c.newest)
	}
	return nil
}

// rejectRequests answers all waiting requests with ErrNotLeader.
func (c *Coordinator) rejectRequests() []CoordinatorAction {
	var actions []CoordinatorAction
	for _, r := range slices.Concat(c.confirming, c.unconfirmed) {
		actions = append(actions, r.respond(Reply{Seq: r.renewal.Seq, RejectReason: ErrNotLeader.Error()}))
	}
	c.confirming = nil
	c.unconfirmed = nil
	return actions
}
