package lease

import (
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/internal/configversion"
	"bankledge/internal/detrand"
	"bankledge/internal/rules"
)

// ClientSettings are fixed at a router's start.
type ClientSettings struct {
	Durations    Durations
	Name         string               // of the router, for operators
	Incarnation  string               // unique to this process
	Lineage      string               // the only one to follow; empty: the first one that is received
	LocalRules   *rules.Rules         // the router's local settings
	Guards       configversion.Guards // checked in addition to those of the control group
	AddressCount int                  // number of processes of the control group
	Seed         uint64               // of the jitter
}

// Client is the lease state machine of a router. It is not safe for concurrent use.
type Client struct {
	settings ClientSettings
	random   detrand.Source // of the jitter

	// Versions.
	lineage         string
	activated       *configversion.Version // newest one that is activated, as far as this router knows
	pending         *configversion.Version // newest one that is known, while it is not activated
	activatedNumber uint64                 // highest number that was reported as activated; its version may still be unknown
	applied         ActiveConfiguration    // of the last ApplyRules

	// Renewals.
	leaseExpiry     time.Duration // 0: no lease
	lastSeq         uint64
	sent            [rememberedRenewals]sentRenewal // by Seq modulo the length
	awaitingReply   bool                            // to the renewal lastSeq
	nextRenewal     time.Duration
	renewalFailures int // in a row
	addressIndex    int // that renewals are sent to
	lastMessage     string

	// Stream.
	streamFailures int           // in a row
	reopenStreamAt time.Duration // 0: the stream is open
}

// NewClient returns the client of a router that has received no version yet and acts on its local settings.
func NewClient(settings ClientSettings) *Client {
	return &Client{
		settings:       settings,
		lineage:        settings.Lineage,
		random:         detrand.Source{Seed: settings.Seed},
		reopenStreamAt: 1, // at once; 0 would mean that the stream is open
	}
}

// Step takes an event that happened now and returns what to do, in order.
func (c *Client) Step(now time.Duration, event ClientEvent) []ClientAction {
	actions := c.handle(now, event)
	// The lease is checked before anything is decided, so that a process that was paused does not act on an old version.
	actions = append(actions, c.expireLease(now)...)
	if apply, changed := c.applyRules(); changed {
		actions = append(actions, apply)
	}
	c.expireRenewal(now)
	if c.reopenStreamAt > 0 && now >= c.reopenStreamAt {
		actions = append(actions, c.reopenStream())
	}
	if !c.awaitingReply && now >= c.nextRenewal {
		actions = append(actions, c.renew(now))
	}
	return actions
}

func (c *Client) handle(now time.Duration, event ClientEvent) []ClientAction {
	switch event := event.(type) {
	case ReplyReceived:
		return c.receiveReply(now, event.Reply)
	case RenewalFailed:
		if c.awaitingReply && event.Seq == c.lastSeq {
			c.failRenewal(now)
		}
	case VersionReceived:
		return c.receiveVersion(now, event.Version, event.Activated)
	case VersionActivated:
		c.activate(event.Lineage, event.Number)
	case InvalidVersionReceived:
		return c.report("not taken: " + event.Err.Error())
	case StreamLost:
		c.streamFailures++
		c.reopenStreamAt = now + c.backoff(c.streamFailures)
	}
	return nil
}

// NextDeadline is when the client needs a ClientTick at the latest.
func (c *Client) NextDeadline() time.Duration {
	deadline := c.nextRenewal
	if c.awaitingReply {
		deadline = c.replyDeadline()
	}
	if c.reopenStreamAt > 0 {
		deadline = min(deadline, c.reopenStreamAt)
	}
	if c.leaseExpiry > 0 {
		deadline = min(deadline, c.leaseExpiry)
	}
	return deadline
}

// LeaseExpiry is when the lease expires, or 0 without a lease. An action that was decided under the lease must not be carried out after it.
func (c *Client) LeaseExpiry() time.Duration { return c.leaseExpiry }

func (c *Client) expireLease(now time.Duration) []ClientAction {
	if c.leaseExpiry == 0 || now < c.leaseExpiry {
		return nil
	}
	c.leaseExpiry = 0
	return c.report("the term is over: on the cautious side of what is known")
}

// report logs a message for operators and sends it to the group with the next renewal. A repeated message is not logged again.
func (c *Client) report(text string) []ClientAction {
	text = truncate(strings.ToValidUTF8(text, "?"), maxTextBytes)
	if text == c.lastMessage {
		return nil
	}
	c.lastMessage = text
	return []ClientAction{LogMessage{text}}
}

// truncate returns the longest prefix of valid UTF-8 that has at most so many bytes and ends between two characters.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
