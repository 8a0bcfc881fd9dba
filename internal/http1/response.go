// Package http1 reads HTTP/1.1 responses from a connection. It handles partial reads, Content-Length, chunked bodies, bodies
// that end when the connection is closed, and responses without a body. All sizes are limited. The package does not use
// net/http, whose client hides whether unrequested bytes follow a response and whether a request was written completely.
//
// A Reader returns errors that wrap [ErrMalformed] for input that is not HTTP/1.1 or exceeds a limit,
// io.ErrUnexpectedEOF if the connection ends within a response, and otherwise the errors of the connection.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"bankledge/internal/readbuffer"
)

const (
	maxHeaderBytes      = 16 << 10 // limit for a status line with its headers
	maxInterimResponses = 16       // limit before one response
	readBufferBytes     = 64 << 10

	headerEnd = "\r\n\r\n"
	lineEnd   = "\r\n"

	statusOK          = 200 // lower statuses are interim responses
	statusNoContent   = 204
	statusNotModified = 304
)

// ErrMalformed is wrapped by the errors about responses that are not HTTP/1.1 or exceed a limit.
var ErrMalformed = errors.New("malformed HTTP")

// malformed returns a formatted error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// Reader reads the responses on one connection, one after another. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	buffer *readbuffer.Buffer
}

// NewReader returns a reader of the responses that source delivers.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: readbuffer.New(readBufferBytes)}
}

// Buffered reports whether bytes were read from the connection that do not belong to any response returned so far.
func (r *Reader) Buffered() bool { return len(r.buffer.Bytes()) > 0 }

// ReadResponse reads a complete response with a body of at most maxBody bytes. It does not read a body whose
// Content-Length is larger. A body that ends only when the connection is closed is an error, since it may be incomplete.
// When ReadResponse returns an error, the header may be set and the body may hold the part that was read.
func (r *Reader) ReadResponse(maxBody int) (Header, []byte, error) {
	header, err := r.ReadHeader()
	if err != nil {
		return header, nil, err
	}
	bodyReader := r.BodyReader(header)
	switch body := bodyReader.(type) {
	case untilCloseBody:
		return header, nil, malformed("a body without an end")
	case *fixedLengthBody:
		if body.remaining > int64(maxBody) {
			return header, nil, malformed("body over %d bytes", maxBody)
		}
	}
	body, err := io.ReadAll(io.LimitReader(bodyReader, int64(maxBody)+1))
	if err == nil && len(body) > maxBody {
		err = malformed("body over %d bytes", maxBody)
	}
	return header, body, err
}

// ReadHeader reads a status line and headers. It skips interim responses.
func (r *Reader) ReadHeader() (Header, error) {
	interim := 0
	for {
		buffered := r.buffer.Bytes()
		end := bytes.Index(buffered, []byte(headerEnd))
		if end < 0 || end > maxHeaderBytes {
			if len(buffered) > maxHeaderBytes {
				return Header{}, malformed("headers over %d bytes", maxHeaderBytes)
			}
			if err := r.fill(); err != nil {
				return Header{}, err
			}
			continue
		}
		header, err := ParseHeader(buffered[:end])
		r.buffer.Discard(end + len(headerEnd))
		if err != nil || header.Status >= statusOK {
			return header, err
		}
		interim++
		if interim > maxInterimResponses {
			return Header{}, malformed("over %d interim answers", maxInterimResponses)
		}
	}
}

// fill reads once from the connection into the buffer.
func (r *Reader) fill() error {
	_, err := r.buffer.Fill(r.source)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBuffered copies buffered bytes into p. If the buffer is empty, it first reads from the connection.
func (r *Reader) readBuffered(p []byte) (int, error) {
	for len(r.buffer.Bytes()) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buffer.Bytes())
	r.buffer.Discard(n)
	return n, nil
}
