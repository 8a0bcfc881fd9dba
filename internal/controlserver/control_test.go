package controlserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/consensus/store"
	"bankledge/internal/controlapi"
	"bankledge/internal/controlclient"
	"bankledge/internal/rules"
)

// alone are the settings of one process alone, on free addresses.
func alone(t *testing.T, dir string) *Settings {
	path := filepath.Join(t.TempDir(), "alone.jsonnet")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{id: 1, dir: %q, peer: '127.0.0.1:0', client: '127.0.0.1:0', term_ms: 400, renew_ms: 60, answer_ms: 60, batch_ms: 10, pause_ms: 10, heartbeat_ms: 10, election_ms: 50}`, dir), 0o600))
	s, err := LoadSettings(path)
	require.NoError(t, err)
	return s
}

type running struct {
	*Server
	t    *testing.T
	stop context.CancelFunc
	end  chan error
	once bool
}

func serve(t *testing.T, s *Settings, wrap func(Storage) Storage) *running {
	disk, err := store.Open(s.DataDir, s.ID)
	require.NoError(t, err)
	v, err := NewWithStorage(s, wrap(disk), zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Server: v, t: t, stop: cancel, end: make(chan error, 1)}
	go func() { r.end <- v.Run(ctx) }()
	t.Cleanup(func() { r.close() })
	<-v.Ready
	return r
}

func (r *running) close() error {
	if r.once {
		return nil
	}
	r.once = true
	r.stop()
	return <-r.end
}

func (r *running) client() *adminclient.Client {
	return adminclient.New([]string{r.clientListener.Addr().String()}, 10*time.Second)
}

func plain(d Storage) Storage { return d }

func aRule(multiple float64) json.RawMessage {
	r := &rules.Rules{Routers: 2, SlowStartMultiple: multiple}
	if err := r.Validate(); err != nil {
		panic(err)
	}
	return r.Canonical()
}

// One process alone: versions, a stream that goes on from where it was, terms, a restart that has all, and nothing left running.
func TestOneProcess(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	dir := t.TempDir()
	r := serve(t, alone(t, dir), plain)
	c := r.client()
	o, err := c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "a", Rules: aRule(2)})
	require.NoError(t, err)
	require.NoError(t, c.AwaitActivated(t.Context(), o.Number))
	o, err = c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "a", Rules: aRule(2)})
	require.NoError(t, err)
	assert.Equal(t, uint64(1), o.Number, "asked twice, counted once")
	_, err = c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "b", Rules: aRule(1)})
	assert.ErrorContains(t, err, "floor")

	news := follow(t, r, 0)
	first := <-news
	require.NotNil(t, first.Version)
	_, err = c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "c", Rules: aRule(3)})
	require.NoError(t, err)
	second := <-news
	assert.Equal(t, uint64(2), second.Version.Number)
	for n := second; n.Activated < 2; { // it is in force at once here, since no router has a term
		n = <-news
	}
	s, err := c.Status(t.Context())
	require.NoError(t, err)
	assert.True(t, s.IsLeader)
	require.NoError(t, r.close())

	r = serve(t, alone(t, dir), plain)
	c = r.client()
	require.Eventually(t, func() bool { s, err := c.Status(t.Context()); return err == nil && s.IsLeader }, 10*time.Second, 10*time.Millisecond)
	list, err := c.Versions(t.Context())
	require.NoError(t, err)
	assert.Len(t, list.Versions, 2)
	assert.Equal(t, s.Lineage, list.Lineage)
	last := <-follow(t, r, 1)
	assert.Equal(t, uint64(2), last.Version.Number, "who knows the first one gets the second")
	require.NoError(t, r.close())
}

// follow follows the versions after a number.
func follow(t *testing.T, r *running, after uint64) chan controlapi.VersionEvent {
	ask, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+r.clientListener.Addr().String()+"/v1/versions/events", nil)
	require.NoError(t, err)
	ask.Header.Set("Last-Event-ID", fmt.Sprint(after))
	said, err := http.DefaultClient.Do(ask)
	require.NoError(t, err)
	news := make(chan controlapi.VersionEvent, 100)
	t.Cleanup(func() { said.Body.Close() })
	go func() {
		defer close(news)
		for lines := bufio.NewScanner(said.Body); lines.Scan(); {
			if data, is := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); is {
				var n controlapi.VersionEvent
				if json.Unmarshal(data, &n) == nil {
					news <- n
				}
			}
		}
	}()
	return news
}

// failing is a disk that fails from some time on.
type failing struct {
	Storage
	fails atomic.Bool
}

func (f *failing) Save(s consensus.PersistentState) error {
	if f.fails.Load() {
		return errors.New("no space left on device")
	}
	return f.Storage.Save(s)
}

// A process whose disk fails says so and serves no more: what it could not keep is acknowledged to nobody.
func TestDiskFails(t *testing.T) {
	disk := &failing{}
	r := serve(t, alone(t, t.TempDir()), func(d Storage) Storage { disk.Storage = d; return disk })
	c := r.client()
	_, err := c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "a", Rules: aRule(2)})
	require.NoError(t, err)
	disk.fails.Store(true)
	c = adminclient.New([]string{r.clientListener.Addr().String()}, 300*time.Millisecond)
	_, err = c.Propose(t.Context(), configregister.Entry{Kind: configregister.EntryPropose, ID: "b", Rules: aRule(3)})
	assert.Error(t, err)
	assert.ErrorContains(t, <-r.end, "no space left")
	r.once = true
}

// stalling is a disk that keeps nothing until it is released.
type stalling struct {
	Storage
	stalls   atomic.Bool
	reached  chan struct{}
	released chan struct{}
}

func (s *stalling) Save(change consensus.PersistentState) error {
	if s.stalls.CompareAndSwap(true, false) {
		close(s.reached)
		<-s.released
	}
	return s.Storage.Save(change)
}

// A process whose disk does not answer is busy, and says so to routers and operators in the same words as ever.
func TestBusy(t *testing.T) {
	disk := &stalling{reached: make(chan struct{}), released: make(chan struct{})}
	r := serve(t, alone(t, t.TempDir()), func(d Storage) Storage { disk.Storage = d; return disk })
	defer close(disk.released)
	require.Eventually(t, func() bool { s, err := r.client().Status(t.Context()); return err == nil && s.IsLeader }, 10*time.Second, 10*time.Millisecond)
	at := "http://" + r.clientListener.Addr().String()
	call := func(ctx context.Context, method, path, body string) (int, string, error) {
		ask, err := http.NewRequestWithContext(ctx, method, at+path, strings.NewReader(body))
		require.NoError(t, err)
		said, err := http.DefaultClient.Do(ask)
		if err != nil {
			return 0, "", err
		}
		defer said.Body.Close()
		raw, err := io.ReadAll(said.Body)
		return said.StatusCode, string(raw), err
	}
	disk.stalls.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, _, err := call(ctx, "POST", "/v1/proposals", `{"kind":"propose","id":"a","rules":{"routers":2}}`)
		ended <- err
	}()
	<-disk.reached
	status, body, err := call(t.Context(), "POST", "/v1/term", `{"incarnation":"i","seq":1}`)
	require.NoError(t, err)
	assert.Equal(t, 503, status)
	assert.Equal(t, "this process is busy, or ends\n", body)
	status, body, err = call(t.Context(), "GET", "/v1/status", "")
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Contains(t, body, `"sessions":null,"error":"it can't prove that it leads: this process is busy, or ends"}`)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestUnfitCalls(t *testing.T) {
	r := serve(t, alone(t, t.TempDir()), plain)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/term", "{", 400}, {"POST", "/v1/term", `{"unheard": 1}`, 400}, {"POST", "/v1/term", strings.Repeat(" ", maxRenewalBytes+1), 400},
		{"POST", "/v1/proposals", `{"kind": "settle", "id": "x", "number": 9}`, 409}, {"POST", "/v1/proposals", `[]`, 400}, {"GET", "/v1/none", "", 404},
		{"POST", "/v1/members", `{"id": 1}`, 409}, {"DELETE", "/v1/status", "", 405}, {"POST", "/v1/members", `{"id": 9, "remove": true}`, 409},
	} {
		require.Eventually(t, func() bool { s, err := r.client().Status(t.Context()); return err == nil && s.IsLeader }, 10*time.Second, 10*time.Millisecond)
		ask, err := http.NewRequest(c.method, "http://"+r.clientListener.Addr().String()+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		said, err := http.DefaultClient.Do(ask)
		require.NoError(t, err)
		io.Copy(io.Discard, said.Body)
		said.Body.Close()
		assert.Equal(t, c.status, said.StatusCode, "%s %s", c.path, c.body[:min(40, len(c.body))])
	}
	for _, raw := range [][]byte{{0xff}, {5, 1, 2}, {2, 0xff, 0xff}, bytes.Repeat([]byte{0x80}, 20)} {
		_, err := decodeMessages(bytes.NewReader(raw))
		assert.Error(t, err)
	}
	ask, err := http.NewRequest("POST", "http://"+r.peerListener.Addr().String()+"/v1/messages", nil)
	require.NoError(t, err)
	ask.Header.Set(controlapi.LineageHeader, "another")
	said, err := http.DefaultClient.Do(ask)
	require.NoError(t, err)
	said.Body.Close()
	assert.Equal(t, http.StatusConflict, said.StatusCode, "another group's process")
}

func TestSettings(t *testing.T) {
	for text, says := range map[string]string{
		`{id: 0, members: {'1': {peer: 'a', client: 'b'}}}`: "id: missing", `{id: 1, dir: 'd', peer: 'x'}`: "not an address",
		`{id: 2, dir: 'd', members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}`: "none of them", `{id: 1, dir: ''}`: "dir: missing",
		`{id: 1, dir: 'd', members: {'x': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}`: "no id", `{id: 1, unheard: 1}`: "unheard",
		`{id: 1, dir: 'd', members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:1'}}}`: "has it, too", `{id: 1, dir: 'd', term_ms: 200}`: "spans: renew",
		`{id: 1, dir: 'd', drift: 0.5}`: "drift", `{id: 1, dir: 'd', most_gone: 2}`: "most_gone", `{id: 1, dir: 'd', election_ms: 100}`: "election", `{`: "settings",
	} {
		path := filepath.Join(t.TempDir(), "s.jsonnet")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadSettings(path)
		assert.ErrorContains(t, err, says, text)
	}
	s, err := LoadSettings("")
	require.NoError(t, err)
	assert.Equal(t, uint64(1), s.ID)
	assert.Equal(t, s.LeaseDurations(), (&controlclient.Config{}).LeaseDurations(), "both sides have the same usual spans")
}
