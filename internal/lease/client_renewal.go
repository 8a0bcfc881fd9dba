package lease

import "time"

// rememberedRenewals is how many of the latest renewals are remembered until their reply is received. A reply to an older one is dropped.
const rememberedRenewals = 8

// sentRenewal is a renewal without a reply. A lease that the reply grants counts from sentAt, however late the reply is received.
type sentRenewal struct {
	seq    uint64 // 0: no renewal, or its reply was received
	sentAt time.Duration
}

// Jitter of the renewal interval and of backoffs: a duration is multiplied by a random factor from the minimum to the minimum plus the range,
// so that routers do not all send at the same time.
const (
	minRenewJitter     = 0.8
	renewJitterRange   = 0.4
	minBackoffJitter   = 0.5
	backoffJitterRange = 1.0
)

// renew sends a renewal. A lease that its reply grants counts from now, which is before anything is written to the network.
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

// replyDeadline returns when the last renewal counts as failed if it has no reply.
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

// backoff returns the time to wait after a number of consecutive failures. It grows from a quarter of the renewal interval to the whole
// interval once each address has failed twice, and is jittered, so that a recovering group is not overloaded.
func (c *Client) backoff(failures int) time.Duration {
	rounds := min(failures/c.addresses(), 2)
	nominal := c.settings.Durations.RenewInterval / time.Duration(4>>rounds)
	return time.Duration(float64(nominal) * (minBackoffJitter + backoffJitterRange*c.random.Float64()))
}

// addresses returns the number of addresses, at least 1.
func (c *Client) addresses() int { return max(1, c.settings.AddressCount) }

// takeSent returns when a renewal was sent, and removes it from the remembered ones, so that a duplicate reply has no effect. It returns
// false if the renewal is not remembered.
func (c *Client) takeSent(seq uint64) (time.Duration, bool) {
	sent := c.sent[seq%rememberedRenewals]
	if seq == 0 || sent.seq != seq {
		return 0, false
	}
	c.sent[seq%rememberedRenewals] = sentRenewal{}
	return sent.sentAt, true
}

// receiveReply handles a reply. A grant extends the lease, counted from when the renewal was sent.
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
		c.scheduleStreamReopen(now)
	}
	c.activate(reply.Lineage, reply.Activated)
	return nil
}

// grantApplies reports whether a reply grants a lease on the newest version that this client knows.
func (c *Client) grantApplies(reply Reply) bool {
	newest := c.newest()
	return reply.Granted && newest != nil && reply.Newest == newest.Number && reply.Lineage == c.lineage
}

// scheduleStreamReopen schedules a new stream when a version exists that the client has not received: the connection may be broken, or the
// process at its other end may lag. The delay leaves the present stream time to deliver the version; the stream is reopened even if it does.
func (c *Client) scheduleStreamReopen(now time.Duration) {
	if c.reopenStreamAt == 0 {
		c.reopenStreamAt = now + c.settings.Durations.RenewInterval/4
	}
}

func (c *Client) reopenStream() ClientAction {
	c.reopenStreamAt = 0
	return ReopenStream{AddressIndex: (c.addressIndex + c.streamFailures) % c.addresses(), AfterVersion: c.newestNumber()}
}
