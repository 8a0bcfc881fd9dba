package lease

import "time"

// rememberedRenewals is how many of the last renewals may still be answered. The reply to an older one is dropped.
const rememberedRenewals = 8

// sentRenewal is a renewal that has no reply yet. The lease is counted from when it was sent, however late the reply is.
type sentRenewal struct {
	seq    uint64 // 0: none, or its reply was received
	sentAt time.Duration
}

// Jitter of the interval between renewals and of backoffs, as fractions of the nominal time, so that routers do not act all at once.
const (
	minRenewJitter     = 0.8
	renewJitterRange   = 0.4
	minBackoffJitter   = 0.5
	backoffJitterRange = 1.0
)

// renew sends a renewal. The lease is counted from now, before anything is written to the network.
func (c *Client) renew(now time.Duration) ClientAction {
	c.lastSeq++
	c.awaitingReply = true
	c.sent[c.lastSeq%rememberedRenewals] = sentRenewal{seq: c.lastSeq, sentAt: now}
	jitter := minRenewJitter + renewJitterRange*c.random.Float64()
	c.nextRenewal = now + time.Duration(float64(c.settings.Durations.RenewInterval)*jitter)
	renewal := Renewal{
		Name:            c.settings.Name,
		Incarnation:     c.settings.Incarnation,
		Seq:             c.lastSeq,
		Lineage:         c.lineage,
		LastMessage:     c.lastMessage,
		DurationsKey:    c.settings.Durations.CompatibilityKey(),
		RemainingMillis: max(0, c.leaseExpiry-now).Milliseconds(),
	}
	if newest := c.newest(); newest != nil {
		renewal.KnownVersion = newest.Number
		renewal.KnownHash = newest.Hash
	}
	return SendRenewal{Renewal: renewal, AddressIndex: c.addressIndex}
}

// replyDeadline is when the last renewal counts as failed.
func (c *Client) replyDeadline() time.Duration {
	return c.sent[c.lastSeq%rememberedRenewals].sentAt + c.settings.Durations.ReplyTimeout
}

func (c *Client) expireRenewal(now time.Duration) {
	if c.awaitingReply && now >= c.replyDeadline() {
		c.failRenewal(now)
	}
}

// failRenewal schedules a retry at the next address, after a backoff.
func (c *Client) failRenewal(now time.Duration) {
	c.awaitingReply = false
	c.addressIndex = (c.addressIndex + 1) % c.addresses()
	c.nextRenewal = now + c.backoff(c.renewalFailures)
	c.renewalFailures++
}

// backoff is the time to wait after a number of failures in a row. It grows to the renewal interval once each address has failed twice,
// and is jittered, so that a group that recovers is not overloaded.
func (c *Client) backoff(failures int) time.Duration {
	rounds := min(failures/c.addresses(), 2)
	nominal := c.settings.Durations.RenewInterval / time.Duration(4>>rounds)
	return time.Duration(float64(nominal) * (minBackoffJitter + backoffJitterRange*c.random.Float64()))
}

// addresses is the number of addresses to choose from.
func (c *Client) addresses() int { return max(1, c.settings.AddressCount) }

// takeSent returns when a renewal was sent, and forgets it, so that a duplicate reply has no effect. It returns false if the renewal is
// not remembered.
func (c *Client) takeSent(seq uint64) (time.Duration, bool) {
	sent := c.sent[seq%rememberedRenewals]
	if seq == 0 || sent.seq != seq {
		return 0, false
	}
	c.sent[seq%rememberedRenewals] = sentRenewal{}
	return sent.sentAt, true
}

// receiveReply extends the lease by a grant, counted from when the renewal was sent.
func (c *Client) receiveReply(now time.Duration, reply Reply) []ClientAction {
	sentAt, remembered := c.takeSent(reply.Seq)
	if !remembered {
		return nil
	}
	if reply.Seq == c.lastSeq {
		c.awaitingReply = false
	}
	if reply.RejectReason != "" || reply.LeaderAddress != "" {
		var actions []ClientAction
		if reply.RejectReason != "" {
			actions = c.report("no term: " + reply.RejectReason)
		}
		c.failRenewal(now)
		return actions
	}
	c.renewalFailures = 0
	switch {
	case c.grantApplies(reply):
		c.leaseExpiry = max(c.leaseExpiry, sentAt+c.settings.Durations.ClientLease())
		c.lastMessage = ""
	case reply.Newest > c.newestNumber():
		c.expectMissingVersion(now)
	}
	c.activate(reply.Lineage, reply.Activated)
	return nil
}

// grantApplies reports whether a reply grants a lease on the newest version that this client knows.
func (c *Client) grantApplies(reply Reply) bool {
	newest := c.newest()
	return reply.Granted && newest != nil && reply.Newest == newest.Number && reply.Lineage == c.lineage
}

// expectMissingVersion lets the stream be reopened unless it delivers, within a short time, a version that is known to exist: the
// connection may be dead, or the process at its other end may lag behind.
func (c *Client) expectMissingVersion(now time.Duration) {
	if c.reopenStreamAt == 0 {
		c.reopenStreamAt = now + c.settings.Durations.RenewInterval/4
	}
}

func (c *Client) reopenStream() ClientAction {
	c.reopenStreamAt = 0
	return ReopenStream{AddressIndex: (c.addressIndex + c.streamFailures) % c.addresses(), AfterVersion: c.newestNumber()}
}
