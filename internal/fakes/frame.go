package fakes

import (
	"bufio"
	"encoding/binary"
	"io"
)

// Kinds of frames of the clients' protocol.
const (
	frameReady       = 1
	frameReadyAnswer = 2
	frameGoAway      = 3 // the router takes no new statements on the connection
	frameStatement   = 7
	frameAnswer      = 8
	frameCancel      = 9
)

const (
	lengthBytes = 4
	headerBytes = 9 // length, kind and stream
	// countedHeader is the number of header bytes that the length includes: those of kind and stream.
	countedHeader = headerBytes - lengthBytes
	answerHeader  = 2 // bytes at the start of an answer's payload: the code, and a byte that the fakes ignore
)

// Frame encodes a frame of the clients' protocol.
func Frame(kind byte, stream uint32, payload string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(countedHeader+len(payload)))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// Payload encodes the payload of a statement: its fields, then its text.
func Payload(fields map[string]string, text string) string {
	b := []byte{byte(len(fields))}
	for name, value := range fields {
		b = append(b, byte(len(name)))
		b = append(b, name...)
		b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
		b = append(b, value...)
	}
	return string(b) + text
}

// ReceivedFrame is a frame that a router has sent.
type ReceivedFrame struct {
	Kind   byte
	Stream uint32
	Code   byte   // of an answer
	Body   string // of an answer
}

// ReadFrame reads a frame. It returns the error of the reader, which is io.ErrUnexpectedEOF if the connection ended within a frame.
func ReadFrame(r *bufio.Reader) (ReceivedFrame, error) {
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return ReceivedFrame{}, err
	}
	f := ReceivedFrame{Kind: header[lengthBytes], Stream: binary.BigEndian.Uint32(header[lengthBytes+1:])}
	payload := make([]byte, binary.BigEndian.Uint32(header)-countedHeader)
	if _, err := io.ReadFull(r, payload); err != nil {
		return ReceivedFrame{}, err
	}
	if len(payload) >= answerHeader {
		f.Code = payload[0]
		f.Body = string(payload[answerHeader:])
	}
	return f, nil
}
