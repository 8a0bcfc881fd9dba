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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/consensus/store"
	"bankledge/internal/controlapi"
	"bankledge/internal/rules"
)

const (
	clientTimeout = 10 * time.Second
	pollInterval  = 10 * time.Millisecond
)

// singleSettings returns the settings of a group of one process, which listens on free ports.
func singleSettings(t *testing.T, dir string) *Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "single.jsonnet")
	text := fmt.Appendf(nil, `{
		id: 1, dir: %q, peer: '127.0.0.1:0', client: '127.0.0.1:0', term_ms: 400, renew_ms: 60, answer_ms: 60, batch_ms: 10, pause_ms: 10,
		heartbeat_ms: 10, election_ms: 50,
	}`, dir)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	settings, err := LoadSettings(path)
	require.NoError(t, err)
	return settings
}

// runningServer is a server whose Run is running.
type runningServer struct {
	*Server
	cancel context.CancelFunc
	wait   func() error // waits for Run and returns its error; may be called repeatedly
}

// startServer runs a process, with the storage that its settings name, until it is stopped or the test ends.
func startServer(t *testing.T, settings *Settings) *runningServer {
	t.Helper()
	storage, err := store.Open(settings.DataDir, settings.ID)
	require.NoError(t, err)
	return startServerWith(t, settings, storage)
}

func startServerWith(t *testing.T, settings *Settings, storage Storage) *runningServer {
	t.Helper()
	server, err := NewWithStorage(settings, storage, zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	running := &runningServer{Server: server, cancel: cancel, wait: sync.OnceValue(func() error { return <-ended })}
	t.Cleanup(func() { running.stop() })
	<-server.Ready
	return running
}

// stop stops the server, if it is still running, and returns the error of Run.
func (s *runningServer) stop() error {
	s.cancel()
	return s.wait()
}

func (s *runningServer) clientAddress() string { return s.clientListener.Addr().String() }

func (s *runningServer) adminClient() *adminclient.Client {
	return adminclient.New([]string{s.clientAddress()}, clientTimeout)
}

func (s *runningServer) awaitLeader(t *testing.T) {
	t.Helper()
	client := s.adminClient()
	require.Eventually(t, func() bool {
		status, err := client.Status(t.Context())
		return err == nil && status.IsLeader
	}, clientTimeout, pollInterval)
}

// send sends a request and returns the status and the body of the response.
func send(ctx context.Context, method, url, body string, header http.Header) (status int, response string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if header != nil {
		request.Header = header
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer httpResponse.Body.Close()
	raw, err := io.ReadAll(httpResponse.Body)
	return httpResponse.StatusCode, string(raw), err
}

// followVersions follows the stream of the versions after the given number until the test ends.
func followVersions(t *testing.T, server *runningServer, after uint64) <-chan controlapi.VersionEvent {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.clientAddress()+controlapi.VersionStreamPath, nil)
	require.NoError(t, err)
	request.Header.Set(controlapi.LastEventIDHeader, fmt.Sprint(after))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	events := make(chan controlapi.VersionEvent, 100)
	go func() {
		defer close(events)
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
			var event controlapi.VersionEvent
			if ok && json.Unmarshal(data, &event) == nil {
				events <- event
			}
		}
	}()
	return events
}

// proposal returns a proposal of rules that differ only in SlowStartMultiple, of which a greater value is looser.
func proposal(t *testing.T, id string, slowStartMultiple float64) configregister.Entry {
	t.Helper()
	proposed := &rules.Rules{Routers: 2, SlowStartMultiple: slowStartMultiple}
	require.NoError(t, proposed.Validate())
	return configregister.Entry{Kind: configregister.EntryPropose, ID: id, Rules: proposed.Canonical()}
}

var errNoSpace = errors.New("no space left on device")

// failingStorage is a storage whose Save fails while fails is set.
type failingStorage struct {
	Storage
	fails atomic.Bool
}

func (s *failingStorage) Save(state consensus.PersistentState) error {
	if s.fails.Load() {
		return errNoSpace
	}
	return s.Storage.Save(state)
}

// stallingStorage is a storage of which the next Save blocks once stalls is set.
type stallingStorage struct {
	Storage
	stalls   atomic.Bool
	reached  chan struct{} // closed when that Save is called
	released chan struct{} // closed by the test to unblock it
}

func (s *stallingStorage) Save(state consensus.PersistentState) error {
	if s.stalls.CompareAndSwap(true, false) {
		close(s.reached)
		<-s.released
	}
	return s.Storage.Save(state)
}
