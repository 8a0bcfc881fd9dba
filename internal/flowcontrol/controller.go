// Package flowcontrol accounts for the answers and texts in memory for each peer, and decides when they are too many or are read too
// slowly. A peer is one connection; all connections of one address make up a host; one Controller accounts for all. It records bytes and times
// and returns decisions: no I/O, no clock, no goroutines. Nothing in it is safe for concurrent use; its owner locks.
//
// Times are durations on one monotonic clock of the owner's.
package flowcontrol

// Controller accounts for all peers.
type Controller struct {
	limits       Limits
	answerBytes  int64
	textBytes    int64
	pendingHosts int // hosts with pending answers
	hosts        map[string]*host
}

// host is the account of all connections of one address.
type host struct {
	name         string
	peers        int
	answerBytes  int64
	textBytes    int64
	pendingPeers int // peers with pending answers
}

// NewController returns a controller without peers.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, hosts: map[string]*host{}}
}

// Limits returns the limits that the controller was made with.
func (c *Controller) Limits() Limits { return c.limits }

// Usage returns the totals: bytes of pending answers, bytes of texts, and the number of peers.
func (c *Controller) Usage() (answerBytes, textBytes int64, peers int) {
	for _, h := range c.hosts {
		peers += h.peers
	}
	return c.answerBytes, c.textBytes, peers
}

// OpenPeer opens the account of a connection from an address; Peer.Close closes it.
func (c *Controller) OpenPeer(address string) *Peer {
	h := c.hosts[address]
	if h == nil {
		h = &host{name: address}
		c.hosts[address] = h
	}
	h.peers++
	return &Peer{controller: c, host: h}
}
