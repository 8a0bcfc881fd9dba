package flowcontrol

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const kb = 1 << 10

func open(b *Controller, host string, n int) (peers []*Peer) {
	for range n {
		peers = append(peers, b.OpenPeer(host))
	}
	return peers
}

func TestDerive(t *testing.T) {
	for _, c := range []struct {
		memory         int64
		peers          int
		out, k, perAll int64
	}{{32, 85, 4 << 20, 4 << 20 / 85, 4 << 20}, {48, 170, 6 << 20, 6 << 20 / 170, 6 << 20}, {192, 341, 24 << 20, maxSendBufferBytes, 22 << 20}, {32, 341, 4 << 20, minSendBufferBytes, 6 << 20}} {
		l := DeriveLimits(c.memory, c.peers)
		assert.Equal(t, []int64{c.out, c.k}, []int64{l.AnswerBytes, l.SendBufferBytes})
		assert.LessOrEqual(t, l.SendBufferBytes*int64(c.peers), c.perAll, "what the kernel may hold for all")
	}
}

func TestQueue(t *testing.T) {
	b := NewController(Limits{AnswerBytes: 1024 * kb, SendBufferBytes: 64 * kb})
	slow := open(b, "a", 20)
	for _, p := range slow { // each has one answer that it does not take in
		if !p.TryQueue(0, 48*kb) {
			break
		}
		p.RecordWritten(48 * kb)
	}
	out, _, peers := b.Usage()
	assert.Equal(t, 20, peers)
	assert.Greater(t, out, int64(900*kb))
	assert.True(t, slow[0].Stalled())
	assert.False(t, slow[0].TryQueue(0, 48*kb), "no second one under pressure")
	assert.False(t, slow[0].CanWrite(48*kb))
	fresh := b.OpenPeer("b")
	assert.True(t, fresh.TryQueue(0, 40*kb), "one for which nothing waits has a part in reserve")
	fresh.RecordWritten(40 * kb)
	fresh.RecordUnsent(time.Second, 0)
	assert.False(t, fresh.Stalled())
	denied := b.OpenPeer("c")
	assert.False(t, denied.TryQueue(0, 1024*kb))
	assert.True(t, denied.Stalled(), "nothing more is done for one whose answer could not be kept")
	for _, p := range slow {
		p.Close()
		p.Close()
	}
	assert.False(t, denied.Stalled(), "until there is room")
	out, _, _ = b.Usage()
	assert.Zero(t, out)
	assert.False(t, slow[0].TryQueue(0, 1), "nothing is booked for one that has ended")
}

// One that takes its answers may have several waiting, also while others fill what is shared.
func TestTrust(t *testing.T) {
	b := NewController(Limits{AnswerBytes: 1024 * kb, SendBufferBytes: 64 * kb})
	good := b.OpenPeer("a")
	for range 10 {
		require.True(t, good.TryQueue(0, 48*kb))
		good.RecordWritten(48 * kb)
		good.RecordUnsent(0, 0)
	}
	for _, p := range open(b, "a", 17) {
		p.TryQueue(0, 48*kb)
		p.RecordWritten(48 * kb)
	}
	assert.True(t, good.TryQueue(0, 48*kb))
	assert.True(t, good.TryQueue(0, 48*kb))
	assert.False(t, good.Stalled())
}

// Many connections of one address against one of another: what is shared is shared by addresses first.
func TestHostsShareAlike(t *testing.T) {
	b := NewController(Limits{AnswerBytes: 4096 * kb, SendBufferBytes: 64 * kb})
	many, one := open(b, "a", 60), b.OpenPeer("b")
	for range 8 {
		one.TryQueue(0, 48*kb)
		for _, p := range many {
			p.TryQueue(0, 48*kb)
		}
	}
	assert.Greater(t, one.PendingBytes(), 2*many[59].PendingBytes())
}

func TestTooSlow(t *testing.T) {
	limits := Limits{AnswerBytes: 1 << 30, SendBufferBytes: 64 * kb, MinReadRate: kb, ReadGrace: 4 * time.Second, ReadWindow: 8 * time.Second}
	for _, c := range []struct {
		name  string
		taken func(second int) int64
		at    int // second in which it is too slow; 0: never in two minutes
	}{
		{"takes nothing", func(int) int64 { return 0 }, 12},
		{"200 bytes a second", func(int) int64 { return 200 }, 12},
		{"a little below", func(int) int64 { return kb - 100 }, 12},
		{"a little above", func(int) int64 { return kb + 100 }, 0},
		{"in bursts above the rate", func(s int) int64 {
			if s%7 == 0 {
				return 9 * kb
			}
			return 0
		}, 0},
		{"stops for three seconds and goes on", func(s int) int64 {
			if s > 5 && s <= 8 {
				return 0
			}
			return 4 * kb
		}, 0},
		{"alternates to stay above", func(s int) int64 { return int64(s%2) * 3 * kb }, 0},
		{"stops later on", func(s int) int64 {
			if s > 30 {
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
			for s := 1; s <= 120 && at == 0; s++ {
				now := time.Duration(s) * time.Second
				p.RecordUnsent(now, p.SendBufferBytes()-c.taken(s))
				if p.TooSlow(now) {
					at = s
				}
			}
			assert.Equal(t, c.at, at)
		})
	}
	t.Run("judged only while something waits for it", func(t *testing.T) {
		p := NewController(limits).OpenPeer("a")
		p.TryQueue(0, 100)
		p.RecordWritten(100)
		p.RecordUnsent(time.Second, 0)
		assert.False(t, p.TooSlow(time.Hour), "the router was the one who was waited for")
		p.TryQueue(time.Hour, 100<<10)
		p.RecordWritten(100 << 10)
		assert.False(t, p.TooSlow(time.Hour+11*time.Second), "it has its grace anew")
		assert.True(t, p.TooSlow(time.Hour+12*time.Second))
	})
	t.Run("small answers that are taken in as they come", func(t *testing.T) {
		p := NewController(limits).OpenPeer("a")
		for s := range 60 { // the kernel always waits for the last one's acknowledgement
			p.TryQueue(time.Duration(s)*time.Second, 100)
			p.RecordWritten(100)
			p.RecordUnsent(time.Duration(s)*time.Second, 100)
			require.False(t, p.TooSlow(time.Duration(s)*time.Second))
		}
	})
}

func TestTexts(t *testing.T) {
	b := NewController(Limits{TextBytes: 1024 * kb})
	flood, other := b.OpenPeer("a"), b.OpenPeer("b")
	n := 0
	for flood.ReserveText(16 * kb) {
		n++
	}
	assert.Equal(t, 32, n, "half goes to whoever comes first")
	assert.True(t, other.ReserveText(200*kb), "the rest is shared")
	assert.False(t, other.ReserveText(900*kb))
	flood.Close()
	for range n {
		flood.ReleaseText(16 * kb)
	}
	other.ReleaseText(200 * kb)
	other.Close()
	_, texts, peers := b.Usage()
	assert.Zero(t, texts)
	assert.Zero(t, peers)
	assert.Empty(t, b.hosts, "nothing is kept of an address that is gone")
}

func TestFrameWait(t *testing.T) {
	l := DeriveLimits(48, 170)
	assert.Equal(t, defaultFrameGrace+frameReadSlack, l.FrameReadTimeout(0, 0))
	assert.Equal(t, frameReadSlack, l.FrameReadTimeout(defaultFrameGrace, 0))
	assert.Negative(t, l.FrameReadTimeout(3*time.Second, 10), "a trickle ends soon after its grace")
	for s := range 16 { // 256 KiB at the least rate come whole
		assert.Positive(t, l.FrameReadTimeout(defaultFrameGrace+time.Duration(s)*time.Second, int64(s)*defaultMinWriteRate))
	}
}

// Whatever happens, sums agree, nothing is below 0, and limits hold but for short words.
func TestBooksBalance(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	b := NewController(Limits{AnswerBytes: 1024 * kb, TextBytes: 512 * kb, SendBufferBytes: 64 * kb, MinReadRate: kb, ReadGrace: time.Second, ReadWindow: 4 * time.Second})
	var peers []*Peer
	texts := map[*Peer][]int64{}
	for i := range 50_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if len(peers) < 30 {
			peers = append(peers, b.OpenPeer(string(rune('a'+r.IntN(5)))))
		}
		j := r.IntN(len(peers))
		p := peers[j]
		switch n := r.Int64N(50 * kb); r.IntN(9) {
		case 0, 1, 2:
			p.TryQueue(now, n)
		case 3, 4:
			if n = min(n, p.queuedBytes); p.CanWrite(n) {
				p.RecordWritten(n)
			}
		case 5:
			p.RecordUnsent(now, r.Int64N(p.sendBufferBytes+1))
		case 6:
			if p.ReserveText(n) {
				texts[p] = append(texts[p], n)
			}
		case 7:
			for _, n := range texts[p] {
				p.ReleaseText(n)
			}
			delete(texts, p)
		case 8:
			if r.IntN(20) == 0 {
				p.Close()
				peers = append(peers[:j], peers[j+1:]...)
			}
		}
		p.TooSlow(now)
		out, held, waiting := int64(0), int64(0), map[*host]bool{}
		for _, p := range peers {
			out += p.PendingBytes()
			require.GreaterOrEqual(t, min(p.queuedBytes, p.sendBufferBytes), int64(0))
			if p.PendingBytes() > 0 {
				waiting[p.host] = true
			}
		}
		for _, list := range texts {
			for _, n := range list {
				held += n
			}
		}
		require.Equal(t, []int64{out, held, int64(len(waiting))}, []int64{b.answerBytes, b.textBytes, int64(b.pendingHosts)})
		require.LessOrEqual(t, out, b.limits.AnswerBytes)
		require.LessOrEqual(t, held, b.limits.TextBytes)
	}
}

func BenchmarkAnswer(b *testing.B) { // what an answer adds: booked, written, seen to be taken in
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
