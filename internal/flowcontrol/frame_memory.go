package flowcontrol

import (
	"slices"
	"time"
)

// frame is the memory of a peer's incomplete frame and how far the frame has been received.
type frame struct {
	reservedBytes int64
	progress      FrameProgress
	revoked       bool // the memory has to be released, since others need it more
}

// FrameProgress tells how far a frame has been received.
type FrameProgress struct {
	StartedAt     time.Duration
	SizeBytes     int64 // of the complete frame
	ReceivedBytes int64
}

// timeLeft estimates how long the rest of the frame takes at its average rate so far.
func (p FrameProgress) timeLeft(now time.Duration) time.Duration {
	missing := float64(p.SizeBytes - p.ReceivedBytes)
	return time.Duration(missing / float64(max(1, p.ReceivedBytes)) * float64(now-p.StartedAt))
}

// FrameGrant is the result of a request for frame memory.
type FrameGrant int

// The results of Peer.ReserveFrame.
const (
	FrameGranted FrameGrant = iota
	FrameDelayed            // other frames have been revoked: ask again when they have released their memory
	FrameRevoked            // the peer has to release its own frame
)

// ReserveFrame reserves additional bytes for the peer's incomplete frame. If less is free in Limits.FrameBytes, it revokes frames until
// enough will be free, and returns the peers whose frames it has revoked. It revokes frames of the host that occupies most, and there the
// frame whose rest would take the longest: many slow frames cannot take memory from one that arrives fast.
func (p *Peer) ReserveFrame(now time.Duration, additional int64, progress FrameProgress) (grant FrameGrant, revoked []*Peer) {
	c := p.controller
	p.frame.progress = progress
	if p.closed || p.frame.revoked || p.frame.reservedBytes+additional > c.limits.FrameBytes {
		return FrameRevoked, nil
	}
	if c.frameBytes+additional <= c.limits.FrameBytes {
		p.addFrameBytes(additional)
		return FrameGranted, nil
	}
	for c.frameBytes-c.revokedFrameBytes+additional > c.limits.FrameBytes {
		victim := p.chooseFrameToRevoke(now, additional)
		if victim == p {
			return FrameRevoked, revoked
		}
		victim.revokeFrame()
		revoked = append(revoked, victim)
	}
	return FrameDelayed, revoked
}

// revokeFrame marks the memory of the peer's frame as to be released.
func (p *Peer) revokeFrame() {
	p.frame.revoked = true
	p.host.frameBytes -= p.frame.reservedBytes
	p.controller.revokedFrameBytes += p.frame.reservedBytes
}

// RecordFrameProgress records how far the peer's frame has been received. It returns whether the frame has been revoked.
func (p *Peer) RecordFrameProgress(progress FrameProgress) (revoked bool) {
	p.frame.progress = progress
	return p.frame.revoked
}

// ReleaseFrame releases the memory of the peer's frame, which is complete or was discarded.
func (p *Peer) ReleaseFrame() {
	if p.frame.reservedBytes > 0 {
		p.addFrameBytes(-p.frame.reservedBytes)
	}
	p.frame = frame{}
}

// ShrinkFrame releases a part of the memory of the peer's frame.
func (p *Peer) ShrinkFrame(bytes int64) { p.addFrameBytes(-bytes) }

// addFrameBytes adds to the reserved bytes of the peer, its host and the controller.
func (p *Peer) addFrameBytes(bytes int64) {
	c := p.controller
	if p.frame.reservedBytes == 0 {
		c.framePeers = append(c.framePeers, p)
	}
	p.frame.reservedBytes += bytes
	c.frameBytes += bytes
	if p.frame.revoked {
		c.revokedFrameBytes += bytes
	} else {
		p.host.frameBytes += bytes
	}
	if p.frame.reservedBytes == 0 {
		c.framePeers = slices.DeleteFunc(c.framePeers, func(other *Peer) bool { return other == p })
	}
}

// chooseFrameToRevoke returns the peer whose frame is to be revoked so that p can have additional bytes. It may return p.
func (p *Peer) chooseFrameToRevoke(now time.Duration, additional int64) *Peer {
	victim := p
	victimHostBytes := p.host.frameBytes + additional
	victimTimeLeft := p.frame.progress.timeLeft(now)
	for _, candidate := range p.controller.framePeers {
		if candidate == p || candidate.frame.revoked {
			continue
		}
		hostBytes := candidate.host.frameBytes
		if candidate.host == p.host {
			hostBytes += additional
		}
		timeLeft := candidate.frame.progress.timeLeft(now)
		if hostBytes > victimHostBytes || hostBytes == victimHostBytes && timeLeft > victimTimeLeft {
			victim = candidate
			victimHostBytes = hostBytes
			victimTimeLeft = timeLeft
		}
	}
	return victim
}
