package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// frameType is the type byte of a frame, by the protocol's numbers.
type frameType byte

const (
	frameReadinessQuery frameType = 1 // client: may statements be sent?
	frameReadinessReply frameType = 2 // router: its answer, a code
	frameDraining       frameType = 3 // router: send no new statements on this connection
	frameStatement      frameType = 7 // client: a statement on a new stream
	frameAnswer         frameType = 8 // router: the answer of a stream, or on stream 0 an error of the connection
	frameCancel         frameType = 9 // client: the answer of a stream is not awaited any more
)

// Code is the first byte of an answer.
type Code byte

// The codes of an answer.
const (
	CodeCompleted Code = 20 // the statement ran; the body is its result
	CodeRejected  Code = 50 // the statement never ran; the body is the reason
	CodeAborted   Code = 51 // whether the statement ran is not known; the body is the reason
)

// A frame is its length (4 bytes, big-endian, of all that follows), its type (1 byte), its stream (4 bytes) and a payload.
const (
	lengthBytes     = 4
	frameHeadBytes  = lengthBytes + minFrameLength
	minFrameLength  = 5 // type and stream
	maxFrameLength  = 262144
	answerHeadBytes = 2 // code, and the number of fields
)

// errFraming is returned for a frame length outside the limits; the beginning of the next frame is not known then.
var errFraming = errors.New("frame length outside the limits")

var errFieldsTruncated = errors.New("fields are cut short")

// duplicateFieldError is a frame that names a field twice.
type duplicateFieldError struct{ name string }

func (e *duplicateFieldError) Error() string { return fmt.Sprintf("field %q stands twice", e.name) }

// frame is one frame; its payload is valid until the next read.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

// parseFrame reads the first frame and returns its size in bytes; size 0: the frame is not complete yet. The only error is errFraming.
func parseFrame(raw []byte) (f frame, size int, err error) {
	if len(raw) < lengthBytes {
		return frame{}, 0, nil
	}
	length := binary.BigEndian.Uint32(raw)
	if length < minFrameLength || length > maxFrameLength {
		return frame{}, 0, fmt.Errorf("%w: %d", errFraming, length)
	}
	size = lengthBytes + int(length)
	if len(raw) < size {
		return frame{}, 0, nil
	}
	f = frame{
		kind:    frameType(raw[lengthBytes]),
		stream:  binary.BigEndian.Uint32(raw[lengthBytes+1:]),
		payload: raw[frameHeadBytes:size],
	}
	return f, size, nil
}

// claimedFrameSize is the size in bytes of the frame that begins here, as it claims; 0: not known yet.
func claimedFrameSize(raw []byte) int {
	if len(raw) < lengthBytes {
		return 0
	}
	return lengthBytes + int(binary.BigEndian.Uint32(raw))
}

// Fields are the named values of a frame.
type Fields map[string]string

// parseFields reads the fields at the start of a payload and returns what follows them. A field is its name behind one byte
// of length and its value behind two.
func parseFields(payload []byte) (Fields, []byte, error) {
	if len(payload) < 1 {
		return nil, nil, errFieldsTruncated
	}
	count := int(payload[0])
	rest := payload[1:]
	fields := make(Fields, count)
	for range count {
		name, value, after, err := cutField(rest)
		if err != nil {
			return nil, nil, err
		}
		if _, duplicate := fields[name]; duplicate {
			return nil, nil, &duplicateFieldError{name}
		}
		fields[name] = value
		rest = after
	}
	return fields, rest, nil
}

// cutField reads one field and returns what follows it.
func cutField(raw []byte) (name, value string, after []byte, err error) {
	const valueLengthBytes = 2
	if len(raw) < 1 {
		return "", "", nil, errFieldsTruncated
	}
	nameEnd := 1 + int(raw[0])
	if len(raw) < nameEnd+valueLengthBytes {
		return "", "", nil, errFieldsTruncated
	}
	valueLength := int(binary.BigEndian.Uint16(raw[nameEnd:]))
	after = raw[nameEnd+valueLengthBytes:]
	if len(after) < valueLength {
		return "", "", nil, errFieldsTruncated
	}
	return string(raw[1:nameEnd]), string(after[:valueLength]), after[valueLength:], nil
}

// appendFrame appends the length, type and stream of a frame whose payload has payloadBytes; the caller appends the payload.
func appendFrame(to []byte, kind frameType, stream uint32, payloadBytes int) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(minFrameLength+payloadBytes))
	to = append(to, byte(kind))
	return binary.BigEndian.AppendUint32(to, stream)
}

// appendAnswer appends a frame with a code, no fields and a body.
func appendAnswer(to []byte, kind frameType, stream uint32, code Code, body []byte) []byte {
	to = appendFrame(to, kind, stream, answerHeadBytes+len(body))
	to = append(to, byte(code), 0)
	return append(to, body...)
}
