// Package http1 reads HTTP/1.1 responses from a connection: split reads, Content-Length, chunked bodies, bodies that end
// with the connection, and responses without a body. Every size has a limit. net/http is not used, since its client
// hides whether unrequested bytes follow a response, and whether a request was written completely.
//
// A Reader returns errors that wrap [ErrMalformed] for what is not HTTP/1.1 or exceeds a limit, and those of the
// connection otherwise; io.ErrUnexpectedEOF where it ends within a response.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"bankledge/internal/readbuffer"
)

const (
	maxHeaderBytes      = 16 << 10 // of a status line with its headers
	maxInterimResponses = 16       // before one response
	readBufferBytes     = 64 << 10

	headerEnd = "\r\n\r\n"
	lineEnd   = "\r\n"

	statusOK          = 200 // the first status that is not an interim response's
	statusNoContent   = 204
	statusNotModified = 304
)

// ErrMalformed is wrapped by the errors for responses that are not HTTP/1.1 or exceed a limit.
var ErrMalformed = errors.New("malformed HTTP")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// Reader reads the responses on one connection, one after another. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	buffer *readbuffer.Buffer
}

// NewReader returns a reader of the responses that arrive from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: readbuffer.New(readBufferBytes)}
}

// Buffered reports whether bytes were read from the connection that belong to no response returned so far.
func (r *Reader) Buffered() bool { return len(r.buffer.Bytes()) > 0 }

// ReadResponse reads a complete response with a body of at most maxBody bytes. A body that announces more is not read.
// A body that only the end of the connection ends is an error: it may be incomplete. With an error, the
// header may be set and the body may hold the part that was read.
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

// ReadHeader reads a status line and headers. Interim responses are skipped.
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

// fill reads from the connection once.
func (r *Reader) fill() error {
	_, err := r.buffer.Fill(r.source)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBuffered copies what is buffered into p, after reading from the connection if nothing is.
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
