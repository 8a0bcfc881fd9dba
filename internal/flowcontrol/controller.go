// Package flowcontrol tracks the bytes of answers and statement texts that are in memory for each client, and decides when a client has
// too many or reads its answers too slowly.
//
// A Peer represents one connection, a host all connections from one address, and a Controller all hosts. The package only records bytes
// and times and returns decisions: it does no I/O, reads no clock and starts no goroutine. Its types are not safe for concurrent use;
// callers must lock. All times are durations on one monotonic clock of the caller.
package flowcontrol

// Controller holds the limits and the totals of all peers.
type Controller struct {
	limits       Limits
	answerBytes  int64
	textBytes    int64
	pendingHosts int // hosts with pending answers
	hosts        map[string]*host
}

// host holds the totals of all connections from one address.
type host struct {
	name         string
	peers        int
	answerBytes  int64
	textBytes    int64
	pendingPeers int // peers with pending answers
}

// NewController returns a Controller without peers.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, hosts: map[string]*host{}}
}

// Limits returns the limits that were passed to NewController.
func (c *Controller) Limits() Limits { return c.limits }

// Usage returns the bytes of pending answers, the bytes of statement texts and the number of open peers.
func (c *Controller) Usage() (answerBytes, textBytes int64, peers int) {
	for _, h := range c.hosts {
		peers += h.peers
	}
	return c.answerBytes, c.textBytes, peers
}

// OpenPeer adds a connection from an address. The caller must call Peer.Close when the connection ends.
func (c *Controller) OpenPeer(address string) *Peer {
	h := c.hosts[address]
	if h == nil {
		h = &host{name: address}
		c.hosts[address] = h
	}
	h.peers++
	return &Peer{controller: c, host: h}
}
