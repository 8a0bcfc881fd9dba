package lease

import (
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/internal/configversion"
	"bankledge/internal/detrand"
	"bankledge/internal/rules"
)

// ClientSettings configure a Client. They do not change while the router runs.
type ClientSettings struct {
	Durations    Durations
	Name         string               // of the router, shown to operators
	Incarnation  string               // unique to this process of the router
	Lineage      string               // the only one to follow; if empty, that of the first accepted version
	LocalRules   *rules.Rules         // rules of the router's local settings
	Guards       configversion.Guards // applied in addition to those of the control group
	AddressCount int                  // number of control group addresses, one for each process
	Seed         uint64               // of the jitter of renewals and backoffs
}

// Client is the lease state machine of a router. It is not safe for concurrent use.
type Client struct {
	settings ClientSettings
	random   detrand.Source // generates the jitter

	// Versions.
	lineage         string
	activated       *configversion.Version // newest version that is known to be activated, or nil
	pending         *configversion.Version // newest version while it is not known to be activated, or nil
	activatedNumber uint64                 // highest version number reported as activated; the version itself may not be received yet
	applied         ActiveConfiguration    // configuration of the last ApplyRules

	// Renewals.
	leaseExpiry     time.Duration // 0: no lease
	lastSeq         uint64
	sent            [rememberedRenewals]sentRenewal // ring buffer, indexed by Seq modulo its length
	awaitingReply   bool                            // the reply to renewal lastSeq is outstanding
	nextRenewal     time.Duration
	renewalFailures int    // consecutive
	addressIndex    int    // index of the address that renewals are sent to
	lastMessage     string // sent with each renewal; cleared by a grant

	// Stream.
	streamFailures int           // consecutive
	reopenStreamAt time.Duration // 0: the stream is open and not to be reopened
}

// NewClient returns the client of a router that has received no version yet and acts on its local settings.
func NewClient(settings ClientSettings) *Client {
	return &Client{
		settings:       settings,
		lineage:        settings.Lineage,
		random:         detrand.Source{Seed: settings.Seed},
		reopenStreamAt: 1, // opens the stream on the first Step
	}
}

// Step handles an event that happened at now, and returns the actions to carry out, in order.
func (c *Client) Step(now time.Duration, event ClientEvent) []ClientAction {
	actions := c.handle(now, event)
	// The lease is checked before the rules are chosen, so that a process that was paused does not act on an outdated version.
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

// NextDeadline returns the latest time at which the client needs a ClientTick.
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

// LeaseExpiry returns when the lease expires, or 0 without a lease. A decision that was made under the lease must not be carried out later.
func (c *Client) LeaseExpiry() time.Duration { return c.leaseExpiry }

func (c *Client) expireLease(now time.Duration) []ClientAction {
	if c.leaseExpiry == 0 || now < c.leaseExpiry {
		return nil
	}
	c.leaseExpiry = 0
	return c.report("the term is over: on the cautious side of what is known")
}

// report logs a message for operators, and sends it to the control group with the next renewals. A message that equals the last one is not
// logged again.
func (c *Client) report(text string) []ClientAction {
	text = truncate(strings.ToValidUTF8(text, "?"), maxTextBytes)
	if text == c.lastMessage {
		return nil
	}
	c.lastMessage = text
	return []ClientAction{LogMessage{text}}
}

// truncate returns the longest prefix of text that has at most maxBytes bytes and does not end inside a character. text is valid UTF-8.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
