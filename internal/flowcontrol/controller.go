// Package flowcontrol tracks the bytes of answers, statement texts and incomplete frames that are in memory for each client, and decides
// when a client has too many or reads its answers too slowly.
//
// A Peer represents one connection, a host all connections from one address, and a Controller all hosts. The package only records bytes
// and times and returns decisions: it does no I/O, reads no clock and starts no goroutine. Its types are not safe for concurrent use;
// callers must lock. All times are durations on one monotonic clock of the caller.
package flowcontrol

// Controller holds the limits and the totals of all peers.
type Controller struct {
	limits      Limits
	answerBytes int64
	textBytes   int64
	frameBytes  int64
	// revokedFrameBytes is the part of frameBytes that is to be released.
	revokedFrameBytes int64
	framePeers        []*Peer // peers with memory for a frame, in the order in which the frames began
	pendingHosts      int     // hosts with pending answers
	hosts             map[string]*host
}

// host holds the totals of all connections from one address.
type host struct {
	name         string
	peers        int
	answerBytes  int64
	textBytes    int64
	frameBytes   int64 // without revoked frames
	pendingPeers int   // peers with pending answers
}

// NewController returns a Controller without peers.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, hosts: map[string]*host{}}
}

// Limits returns the limits that were passed to NewController.
func (c *Controller) Limits() Limits { return c.limits }

// Usage is what all peers have in memory.
type Usage struct {
	AnswerBytes int64 // pending answers
	TextBytes   int64 // statement texts
	FrameBytes  int64 // large incomplete frames
	Peers       int   // open peers
}

// Usage returns what all peers have in memory now.
func (c *Controller) Usage() Usage {
	usage := Usage{AnswerBytes: c.answerBytes, TextBytes: c.textBytes, FrameBytes: c.frameBytes}
	for _, h := range c.hosts {
		usage.Peers += h.peers
	}
	return usage
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
