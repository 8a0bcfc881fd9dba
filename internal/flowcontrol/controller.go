// Package flowcontrol accounts for what waits on behalf of each peer, and decides when it is too much or moves too slowly. A peer
// is one connection; all connections of one address make up a host; one Controller accounts for all. It records bytes and times
// and returns decisions: no I/O, no clock, no goroutines. Nothing in it is safe for concurrent use; its owner locks.
//
// Times are durations on one monotonic clock of the owner's.
package flowcontrol

// Controller accounts for all peers.
type Controller struct {
	limits       Limits
	answerBytes  int64
	textBytes    int64
	pendingHosts int // hosts with answers that wait
	hosts        map[string]*host
}

// host is the account of all connections of one address.
type host struct {
	name         string
	peers        int
	answerBytes  int64
	textBytes    int64
	pendingPeers int // peers with answers that wait
}

// NewController returns a controller without peers.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, hosts: map[string]*host{}}
}

// Limits are those in force.
func (c *Controller) Limits() Limits { return c.limits }

// Usage is what waits in all: bytes of answers, bytes of texts, and the number of peers.
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
