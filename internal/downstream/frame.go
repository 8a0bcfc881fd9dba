// Package front speaks with clients: binary frames over TCP, and the connections that carry them.
package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// The types of frame, by the protocol's numbers.
const (
	frameReadinessQuery = 1
	frameReadinessReply = 2
	frameDraining       = 3
	frameStatement      = 7
	frameAnswer         = 8
	frameCancel         = 9
)

// Code is the first byte of an answer.
type Code byte

// The codes of an answer.
const (
	CodeCompleted Code = 20
	CodeRejected  Code = 50
	CodeAborted   Code = 51
)

const (
	lengthBytes    = 4 // the length
	minFrameLength = 5 // type and stream
	maxFrameLength = 262144
)

// ErrFraming tells that the connection's framing is lost.
var ErrFraming = errors.New("frame length outside the limits")

var errFieldsTruncated = errors.New("fields are cut short")

// frame is one frame; its payload is good until the next read.
type frame struct {
	kind    byte
	stream  uint32
	payload []byte
}

// parseFrame reads the first frame and tells its size; size 0: it is not whole yet.
func parseFrame(raw []byte) (f frame, size int, err error) {
	if len(raw) < lengthBytes {
		return f, 0, nil
	}
	length := binary.BigEndian.Uint32(raw)
	if length < minFrameLength || length > maxFrameLength {
		return f, 0, fmt.Errorf("%w: %d", ErrFraming, length)
	}
	if size = lengthBytes + int(length); len(raw) < size {
		return f, 0, nil
	}
	return frame{raw[4], binary.BigEndian.Uint32(raw[5:]), raw[9:size]}, size, nil
}

// leftIn is the streams that nobody waits for any more, by the whole frames in what was read and what follows it.
func cancelledStreams(read, next []byte) (streams []uint32) {
	for {
		head := read // of the frame that begins in read and may end in next
		if len(head) < lengthBytes+minFrameLength {
			head = slices.Concat(read, next[:min(len(next), lengthBytes+minFrameLength-len(read))])
		}
		size := claimedFrameSize(head)
		if len(head) < lengthBytes+minFrameLength || size < lengthBytes+minFrameLength || size > lengthBytes+maxFrameLength || size > len(read)+len(next) {
			return streams
		}
		if head[lengthBytes] == frameCancel {
			streams = append(streams, binary.BigEndian.Uint32(head[lengthBytes+1:]))
		}
		if size < len(read) {
			read = read[size:]
		} else {
			read, next = next[size-len(read):], nil
		}
	}
}

// Fields are the named values of a frame.
type Fields map[string]string

// frameSize is the size of the frame that begins here, as it claims; 0: not known yet.
func claimedFrameSize(raw []byte) int {
	if len(raw) < lengthBytes {
		return 0
	}
	return lengthBytes + int(binary.BigEndian.Uint32(raw))
}

// parseFields reads the fields at the start of a payload and returns what follows them.
func parseFields(raw []byte) (Fields, []byte, error) {
	if len(raw) < 1 {
		return nil, nil, errFieldsTruncated
	}
	count, raw := int(raw[0]), raw[1:]
	fields := make(Fields, count)
	for range count {
		if len(raw) < 1 || len(raw) < 1+int(raw[0])+2 {
			return nil, nil, errFieldsTruncated
		}
		name, rest := string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
		size := int(binary.BigEndian.Uint16(rest))
		if rest = rest[2:]; len(rest) < size {
			return nil, nil, errFieldsTruncated
		}
		if _, twice := fields[name]; twice {
			return nil, nil, fmt.Errorf("field %q stands twice", name)
		}
		fields[name], raw = string(rest[:size]), rest[size:]
	}
	return fields, raw, nil
}

// appendFrame writes a frame's length, type and stream before a payload of so many bytes.
func appendFrame(to []byte, kind byte, stream uint32, payload int) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(minFrameLength+payload))
	return binary.BigEndian.AppendUint32(append(to, kind), stream)
}

// appendAnswer writes a code, no fields and a body.
func appendAnswer(to []byte, kind byte, stream uint32, code Code, body []byte) []byte {
	to = appendFrame(to, kind, stream, 2+len(body))
	return append(append(to, byte(code), 0), body...)
}
