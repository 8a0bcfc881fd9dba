package flowcontrol

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const kb = 1 << 10

func openPeers(c *Controller, address string, n int) []*Peer {
	peers := make([]*Peer, n)
	for i := range peers {
		peers[i] = c.OpenPeer(address)
	}
	return peers
}

func TestTryQueue(t *testing.T) {
	controller := NewController(Limits{AnswerBytes: 1024 * kb, SendBufferBytes: 64 * kb})
	slow := openPeers(controller, "a", 20)
	for _, p := range slow { // each has one answer, which it does not read
		if !p.TryQueue(0, 48*kb) {
			break
		}
		p.RecordWritten(48 * kb)
	}
	usage := controller.Usage()
	assert.Equal(t, 20, usage.Peers)
	assert.Greater(t, usage.AnswerBytes, int64(900*kb))
	assert.True(t, slow[0].Stalled())
	assert.False(t, slow[0].TryQueue(0, 48*kb), "no second answer while memory is scarce")
	assert.False(t, slow[0].CanWrite(48*kb))
	fresh := controller.OpenPeer("b")
	assert.True(t, fresh.TryQueue(0, 40*kb), "memory is reserved for a peer without pending answers")
	fresh.RecordWritten(40 * kb)
	fresh.RecordUnsent(time.Second, 0)
	assert.False(t, fresh.Stalled())
	refused := controller.OpenPeer("c")
	assert.False(t, refused.TryQueue(0, 1024*kb))
	assert.True(t, refused.Stalled(), "a peer whose answer was rejected is stalled")
	for _, p := range slow {
		p.Close()
		p.Close()
	}
	assert.False(t, refused.Stalled(), "the stall ends when memory is free")
	assert.Zero(t, controller.Usage().AnswerBytes)
	assert.False(t, slow[0].TryQueue(0, 1), "nothing is counted for a closed peer")
}

// A peer that reads its answers may have several answers pending, even if other peers have used up the shared memory.
func TestTryQueueTrustsReaders(t *testing.T) {
	controller := NewController(Limits{AnswerBytes: 1024 * kb, SendBufferBytes: 64 * kb})
	reader := controller.OpenPeer("a")
	for range 10 {
		require.True(t, reader.TryQueue(0, 48*kb))
		reader.RecordWritten(48 * kb)
		reader.RecordUnsent(0, 0)
	}
	for _, p := range openPeers(controller, "a", 17) {
		p.TryQueue(0, 48*kb)
		p.RecordWritten(48 * kb)
	}
	assert.True(t, reader.TryQueue(0, 48*kb))
	assert.True(t, reader.TryQueue(0, 48*kb))
	assert.False(t, reader.Stalled())
}

// One address has many connections and another has one. The shared memory is divided among addresses first, then among connections.
func TestHostsShareFairly(t *testing.T) {
	controller := NewController(Limits{AnswerBytes: 4096 * kb, SendBufferBytes: 64 * kb})
	many := openPeers(controller, "a", 60)
	single := controller.OpenPeer("b")
	for range 8 {
		single.TryQueue(0, 48*kb)
		for _, p := range many {
			p.TryQueue(0, 48*kb)
		}
	}
	assert.Greater(t, single.PendingBytes(), 2*many[59].PendingBytes())
}

func TestTooSlow(t *testing.T) {
	limits := Limits{AnswerBytes: 1 << 30, SendBufferBytes: 64 * kb, MinReadRate: kb, ReadGrace: 4 * time.Second, ReadWindow: 8 * time.Second}
	for _, c := range []struct {
		name  string
		reads func(second int) int64 // bytes
		at    int                    // the second at which the peer is too slow; 0: not within two minutes
	}{
		{"reads nothing", func(int) int64 { return 0 }, 12},
		{"200 bytes a second", func(int) int64 { return 200 }, 12},
		{"a little below the rate", func(int) int64 { return kb - 100 }, 12},
		{"a little above the rate", func(int) int64 { return kb + 100 }, 0},
		{"in bursts, above the rate", func(second int) int64 {
			if second%7 == 0 {
				return 9 * kb
			}
			return 0
		}, 0},
		{"stops for three seconds and resumes", func(second int) int64 {
			if second > 5 && second <= 8 {
				return 0
			}
			return 4 * kb
		}, 0},
		{"reads every other second, above the rate", func(second int) int64 { return int64(second%2) * 3 * kb }, 0},
		{"stops later on", func(second int) int64 {
			if second > 30 {
				return 0
			}
			return 4 * kb
		}, 37},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewController(limits).OpenPeer("a")
			p.TryQueue(0, 10<<20)
			p.RecordWritten(10 << 20)
			at := 0
			for second := 1; second <= 120 && at == 0; second++ {
				now := time.Duration(second) * time.Second
				p.RecordUnsent(now, p.SendBufferBytes()-c.reads(second))
				if p.TooSlow(now) {
					at = second
				}
			}
			assert.Equal(t, c.at, at)
		})
	}
	t.Run("measured only while answers are pending", func(t *testing.T) {
		p := NewController(limits).OpenPeer("a")
		p.TryQueue(0, 100)
		p.RecordWritten(100)
		p.RecordUnsent(time.Second, 0)
		assert.False(t, p.TooSlow(time.Hour), "no answer is pending")
		p.TryQueue(time.Hour, 100<<10)
		p.RecordWritten(100 << 10)
		assert.False(t, p.TooSlow(time.Hour+11*time.Second), "the grace starts again")
		assert.True(t, p.TooSlow(time.Hour+12*time.Second))
	})
	t.Run("small answers that are read as they arrive", func(t *testing.T) {
		p := NewController(limits).OpenPeer("a")
		for second := range 60 { // the last answer is never acknowledged yet when the rate is checked
			now := time.Duration(second) * time.Second
			p.TryQueue(now, 100)
			p.RecordWritten(100)
			p.RecordUnsent(now, 100)
			require.False(t, p.TooSlow(now))
		}
	})
}

func TestReserveText(t *testing.T) {
	controller := NewController(Limits{TextBytes: 1024 * kb})
	flooding := controller.OpenPeer("a")
	other := controller.OpenPeer("b")
	texts := 0
	for flooding.ReserveText(16 * kb) {
		texts++
	}
	assert.Equal(t, 32, texts, "half is first come, first served")
	assert.True(t, other.ReserveText(200*kb), "the rest is divided among hosts")
	assert.False(t, other.ReserveText(900*kb))
	flooding.Close()
	for range texts {
		flooding.ReleaseText(16 * kb)
	}
	other.ReleaseText(200 * kb)
	other.Close()
	assert.Zero(t, controller.Usage())
	assert.Empty(t, controller.hosts, "an address without connections is deleted")
}

// peerModel runs random operations on peers and records the texts that they have reserved.
type peerModel struct {
	random     *rand.Rand
	controller *Controller
	peers      []*Peer
	texts      map[*Peer][]int64 // the sizes of the texts
}

// step runs a random operation on a random peer.
func (m *peerModel) step(now time.Duration) {
	if len(m.peers) < 30 {
		m.peers = append(m.peers, m.controller.OpenPeer(string(rune('a'+m.random.IntN(5)))))
	}
	i := m.random.IntN(len(m.peers))
	p := m.peers[i]
	bytes := m.random.Int64N(50 * kb)
	switch m.random.IntN(12) {
	case 0, 1, 2:
		p.TryQueue(now, bytes)
	case 3, 4:
		bytes = min(bytes, p.queuedBytes)
		if p.CanWrite(bytes) {
			p.RecordWritten(bytes)
		}
	case 5:
		p.RecordUnsent(now, m.random.Int64N(p.sendBufferBytes+1))
	case 6:
		if p.ReserveText(bytes) {
			m.texts[p] = append(m.texts[p], bytes)
		}
	case 7:
		for _, text := range m.texts[p] {
			p.ReleaseText(text)
		}
		delete(m.texts, p)
	case 8, 9:
		progress := FrameProgress{StartedAt: now - time.Duration(m.random.IntN(1e9)), SizeBytes: 100 * kb, ReceivedBytes: bytes}
		if grant, _ := p.ReserveFrame(now, bytes, progress); grant == FrameRevoked {
			p.ReleaseFrame()
		}
	case 10:
		p.ReleaseFrame()
	case 11:
		if m.random.IntN(20) == 0 {
			p.Close()
			m.peers = append(m.peers[:i], m.peers[i+1:]...)
		}
	}
	p.TooSlow(now)
}

// check compares the controller's totals with the sums over all peers and texts.
func (m *peerModel) check(t *testing.T) {
	t.Helper()
	answerBytes := int64(0)
	pendingHosts := map[*host]bool{}
	for _, p := range m.peers {
		answerBytes += p.PendingBytes()
		require.GreaterOrEqual(t, min(p.queuedBytes, p.sendBufferBytes), int64(0))
		if p.PendingBytes() > 0 {
			pendingHosts[p.host] = true
		}
	}
	frameBytes := int64(0)
	revokedBytes := int64(0)
	framesOfHosts := map[*host]int64{}
	for _, p := range m.peers {
		frameBytes += p.frame.reservedBytes
		if p.frame.revoked {
			revokedBytes += p.frame.reservedBytes
		} else {
			framesOfHosts[p.host] += p.frame.reservedBytes
		}
	}
	for host, bytes := range framesOfHosts {
		require.Equal(t, bytes, host.frameBytes)
	}
	require.Equal(t, frameBytes, m.controller.frameBytes)
	require.Equal(t, revokedBytes, m.controller.revokedFrameBytes)
	require.LessOrEqual(t, frameBytes, m.controller.limits.FrameBytes)
	textBytes := int64(0)
	for _, texts := range m.texts {
		for _, text := range texts {
			textBytes += text
		}
	}
	require.Equal(t, answerBytes, m.controller.answerBytes)
	require.Equal(t, textBytes, m.controller.textBytes)
	require.Len(t, pendingHosts, m.controller.pendingHosts)
	require.LessOrEqual(t, answerBytes, m.controller.limits.AnswerBytes)
	require.LessOrEqual(t, textBytes, m.controller.limits.TextBytes)
}

// After any sequence of operations, the totals equal the sums over peers, no count is negative, and the limits are not exceeded.
func TestTotalsEqualSums(t *testing.T) {
	model := peerModel{
		random: rand.New(rand.NewPCG(1, 1)),
		controller: NewController(Limits{
			AnswerBytes:     1024 * kb,
			TextBytes:       512 * kb,
			FrameBytes:      256 * kb,
			SendBufferBytes: 64 * kb,
			MinReadRate:     kb,
			ReadGrace:       time.Second,
			ReadWindow:      4 * time.Second,
		}),
		texts: map[*Peer][]int64{},
	}
	for i := range 50_000 {
		model.step(time.Duration(i) * 10 * time.Millisecond)
		model.check(t)
	}
}

// BenchmarkAnswer measures the accounting for one answer that is queued, written and acknowledged.
func BenchmarkAnswer(b *testing.B) {
	p := NewController(DeriveLimits(48, 170)).OpenPeer("a")
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		p.TryQueue(now, 500)
		p.RecordWritten(500)
		p.RecordUnsent(now, 0)
	}
}
