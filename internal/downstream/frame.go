package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// frameType is the type byte of a frame. The values are defined by the protocol.
type frameType byte

const (
	frameReadinessQuery frameType = 1 // client: asks whether the router accepts statements
	frameReadinessReply frameType = 2 // router: the reply to a readiness query, a code
	frameDraining       frameType = 3 // router: asks the client to send no new statements on this connection
	frameStatement      frameType = 7 // client: a statement on a new stream
	frameAnswer         frameType = 8 // router: the answer of a stream, or an error of the connection on stream 0
	frameCancel         frameType = 9 // client: no longer waits for the answer of a stream
)

// Code is the first byte of an answer.
type Code byte

// The codes of an answer.
const (
	CodeCompleted Code = 20 // the statement completed; the body is its result
	CodeRejected  Code = 50 // the statement did not run; the body is the reason
	CodeAborted   Code = 51 // the statement may have run; the body is the reason
)

// A frame consists of its length (4 bytes, big-endian, of the rest of the frame), its type (1 byte), its stream (4 bytes, big-endian)
// and a payload.
const (
	lengthBytes     = 4
	frameHeadBytes  = lengthBytes + minFrameLength
	minFrameLength  = 5 // of type and stream, with an empty payload
	maxFrameLength  = 262144
	answerHeadBytes = 2 // code and number of fields
)

// errFraming is returned for a frame length outside the limits. The start of the next frame cannot be found then.
var errFraming = errors.New("frame length outside the limits")

var errFieldsTruncated = errors.New("fields are cut short")

// duplicateFieldError is returned for a frame with two fields of the same name.
type duplicateFieldError struct{ name string }

func (e *duplicateFieldError) Error() string { return fmt.Sprintf("field %q stands twice", e.name) }

// frame is a parsed frame. Its payload is valid until the next read.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

// parseFrame parses the frame at the start of raw and returns its size in bytes, or size 0 if the frame is incomplete. Its only error
// is errFraming.
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
		stream:  frameStream(raw),
		payload: raw[frameHeadBytes:size],
	}
	return f, size, nil
}

// frameStream returns the stream of the frame at the start of raw, which must hold the complete frame head.
func frameStream(raw []byte) uint32 { return binary.BigEndian.Uint32(raw[lengthBytes+1:]) }

// declaredFrameSize returns the size in bytes of the frame at the start of raw, by its length field, or 0 if that is incomplete.
func declaredFrameSize(raw []byte) int {
	if len(raw) < lengthBytes {
		return 0
	}
	return lengthBytes + int(binary.BigEndian.Uint32(raw))
}

// Fields are the fields of a frame: values by name.
type Fields map[string]string

// parseFields parses the fields at the start of a payload and returns them and the rest of the payload. The payload starts with the
// number of fields (1 byte). A field consists of the length of its name (1 byte), its name, the length of its value (2 bytes,
// big-endian) and its value.
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

// cutField parses the field at the start of raw and returns it and the rest of raw.
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

// appendFrame appends the length, type and stream of a frame with a payload of payloadBytes bytes. The caller appends the payload.
func appendFrame(dst []byte, kind frameType, stream uint32, payloadBytes int) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(minFrameLength+payloadBytes))
	dst = append(dst, byte(kind))
	return binary.BigEndian.AppendUint32(dst, stream)
}

// appendAnswer appends a complete frame with a code, no fields and a body.
func appendAnswer(dst []byte, kind frameType, stream uint32, code Code, body []byte) []byte {
	dst = appendFrame(dst, kind, stream, answerHeadBytes+len(body))
	dst = append(dst, byte(code), 0)
	return append(dst, body...)
}
