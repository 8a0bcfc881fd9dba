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
	typeReadyAsked = 1
	typeReadyTold  = 2
	typeNoMore     = 3
	typeStatement  = 7
	typeAnswer     = 8
	typeLeft       = 9
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
	headBytes   = 4 // the length
	leastLength = 5 // type and stream
	mostLength  = 262144
)

// ErrFraming tells that the connection's framing is lost.
var ErrFraming = errors.New("frame length outside the limits")

var errFields = errors.New("fields are cut short")

// frame is one frame; its payload is good until the next read.
type frame struct {
	kind    byte
	stream  uint32
	payload []byte
}

// parseFrame reads the first frame and tells its size; size 0: it is not whole yet.
func parseFrame(raw []byte) (f frame, size int, err error) {
	if len(raw) < headBytes {
		return f, 0, nil
	}
	length := binary.BigEndian.Uint32(raw)
	if length < leastLength || length > mostLength {
		return f, 0, fmt.Errorf("%w: %d", ErrFraming, length)
	}
	if size = headBytes + int(length); len(raw) < size {
		return f, 0, nil
	}
	return frame{raw[4], binary.BigEndian.Uint32(raw[5:]), raw[9:size]}, size, nil
}

// leftIn is the streams that nobody waits for any more, by the whole frames in what was read and what follows it.
func leftIn(read, next []byte) (streams []uint32) {
	for {
		head := read // of the frame that begins in read and may end in next
		if len(head) < headBytes+leastLength {
			head = slices.Concat(read, next[:min(len(next), headBytes+leastLength-len(read))])
		}
		size := frameSize(head)
		if len(head) < headBytes+leastLength || size < headBytes+leastLength || size > headBytes+mostLength || size > len(read)+len(next) {
			return streams
		}
		if head[headBytes] == typeLeft {
			streams = append(streams, binary.BigEndian.Uint32(head[headBytes+1:]))
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
func frameSize(raw []byte) int {
	if len(raw) < headBytes {
		return 0
	}
	return headBytes + int(binary.BigEndian.Uint32(raw))
}

// parseFields reads the fields at the start of a payload and returns what follows them.
func parseFields(raw []byte) (Fields, []byte, error) {
	if len(raw) < 1 {
		return nil, nil, errFields
	}
	count, raw := int(raw[0]), raw[1:]
	fields := make(Fields, count)
	for range count {
		if len(raw) < 1 || len(raw) < 1+int(raw[0])+2 {
			return nil, nil, errFields
		}
		name, rest := string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
		size := int(binary.BigEndian.Uint16(rest))
		if rest = rest[2:]; len(rest) < size {
			return nil, nil, errFields
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
	to = binary.BigEndian.AppendUint32(to, uint32(leastLength+payload))
	return binary.BigEndian.AppendUint32(append(to, kind), stream)
}

// appendAnswer writes a code, no fields and a body.
func appendAnswer(to []byte, kind byte, stream uint32, code Code, body []byte) []byte {
	to = appendFrame(to, kind, stream, 2+len(body))
	return append(append(to, byte(code), 0), body...)
}
