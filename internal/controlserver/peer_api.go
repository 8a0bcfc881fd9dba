package controlserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/controlapi"
	"bankledge/internal/replica"
)

const (
	maxPeerMessageBytes = 16 << 20
	maxPeerBodyBytes    = 64 << 20 // of one HTTP request
)

var errInvalidMessageLength = errors.New("messages: a length that can't be")

// handlePeerMessages receives messages of the replicated log from another process. It rejects messages of another lineage: their sender
// belongs to a group in which this process's address was used before.
func (s *Server) handlePeerMessages(w http.ResponseWriter, r *http.Request) {
	lineage := s.state.load().register.Lineage
	senderLineage := r.Header.Get(controlapi.LineageHeader)
	if lineage != "" && senderLineage != "" && lineage != senderLineage {
		http.Error(w, "another group: its lineage is "+lineage, http.StatusConflict)
		return
	}
	messages, err := decodeMessages(http.MaxBytesReader(w, r.Body, maxPeerBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, message := range messages {
		if err := s.mailbox.send(r.Context(), eventMessage{replica.MessageReceived{Message: message}}); err != nil {
			return // the request's context has ended: the sender disconnected or the server is shutting down
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// encodeMessages concatenates the encoded messages, each prefixed by its length as a varint.
func encodeMessages(messages []*pb.Message) ([]byte, error) {
	var body []byte
	for _, message := range messages {
		raw, err := proto.Marshal(message)
		if err != nil {
			return nil, err
		}
		body = binary.AppendUvarint(body, uint64(len(raw)))
		body = append(body, raw...)
	}
	return body, nil
}

// decodeMessages decodes the format of encodeMessages.
func decodeMessages(body io.Reader) ([]*pb.Message, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	var messages []*pb.Message
	for len(raw) > 0 {
		length, prefixSize := binary.Uvarint(raw)
		if prefixSize <= 0 || length > maxPeerMessageBytes || length > uint64(len(raw)-prefixSize) {
			return nil, errInvalidMessageLength
		}
		end := prefixSize + int(length)
		message := new(pb.Message)
		if err := proto.Unmarshal(raw[prefixSize:end], message); err != nil {
			return nil, fmt.Errorf("messages: %w", err)
		}
		messages = append(messages, message)
		raw = raw[end:]
	}
	return messages, nil
}
