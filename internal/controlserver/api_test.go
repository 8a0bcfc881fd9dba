package controlserver

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/controlapi"
)

// Invalid requests are rejected with the expected status, and the process continues to serve.
func TestInvalidRequests(t *testing.T) {
	server := startServer(t, singleSettings(t, t.TempDir()))
	for _, c := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"truncated renewal", "POST", "/v1/term", "{", 400},
		{"unknown field", "POST", "/v1/term", `{"unknown": 1}`, 400},
		{"renewal too large", "POST", "/v1/term", strings.Repeat(" ", maxRenewalBytes+1), 400},
		{"activation by an operator", "POST", "/v1/proposals", `{"kind": "settle", "id": "x", "number": 9}`, 409},
		{"proposal of another type", "POST", "/v1/proposals", `[]`, 400},
		{"proposal with trailing data", "POST", "/v1/proposals", `{"kind": "settle", "id": "x", "number": 9} {}`, 400},
		{"renewal with trailing data", "POST", "/v1/term", `{"incarnation": "x"} x`, 400},
		{"membership change with trailing data", "POST", "/v1/members", `{"id": 9, "remove": true}]`, 400},
		{"unknown path", "GET", "/v1/none", "", 404},
		{"member without addresses", "POST", "/v1/members", `{"id": 1}`, 409},
		{"unknown method", "DELETE", "/v1/status", "", 405},
		{"removal of an unknown member", "POST", "/v1/members", `{"id": 9, "remove": true}`, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.awaitLeader(t)
			status, _, err := send(t.Context(), c.method, "http://"+server.clientAddress()+c.path, c.body, nil)
			require.NoError(t, err)
			assert.Equal(t, c.status, status)
		})
	}
}

// Messages from a process of another group, in which this process's address was used before, are rejected with that reason.
func TestMessagesOfAnotherGroup(t *testing.T) {
	server := startServer(t, singleSettings(t, t.TempDir()))
	server.awaitLeader(t)
	require.Eventually(t, func() bool { return server.state.load().register.Lineage != "" }, clientTimeout, pollInterval)
	header := http.Header{controlapi.LineageHeader: {"another"}}
	status, body, err := send(t.Context(), "POST", "http://"+server.peerListener.Addr().String()+controlapi.PeerMessagesPath, "", header)
	require.NoError(t, err)
	assert.Equal(t, http.StatusConflict, status)
	assert.Equal(t, "another group: its lineage is "+server.state.load().register.Lineage+"\n", body)
}

func TestPeerMessageEncoding(t *testing.T) {
	var messages []*pb.Message
	for term := range uint64(3) {
		messages = append(messages, &pb.Message{Term: proto.Uint64(term), Context: bytes.Repeat([]byte("x"), 200*int(term))})
	}
	raw, err := encodeMessages(messages)
	require.NoError(t, err)
	decoded, err := decodeMessages(bytes.NewReader(raw))
	require.NoError(t, err)
	require.Len(t, decoded, len(messages))
	for i := range messages {
		assert.True(t, proto.Equal(messages[i], decoded[i]), "message %d", i)
	}
	for cut := 1; cut < len(raw); cut++ {
		decoded, err := decodeMessages(bytes.NewReader(raw[:cut]))
		assert.True(t, err != nil || len(decoded) < len(messages), "cut at %d", cut)
	}
}

func TestInvalidPeerMessages(t *testing.T) {
	for name, raw := range map[string][]byte{
		"truncated length":  {0xff},
		"truncated message": {5, 1, 2},
		"invalid protobuf":  {2, 0xff, 0xff},
		"length too large":  bytes.Repeat([]byte{0x80}, 20),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeMessages(bytes.NewReader(raw))
			assert.ErrorContains(t, err, "messages: ")
		})
	}
}
