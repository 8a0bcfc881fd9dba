// Package http1 reads HTTP/1.1 answers: split reads, Content-Length, chunked bodies, bodies that end with
// the connection and answers without one. Every size has a limit.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"bankledge/internal/readbuffer"
)

const (
	maxHeaderBytes      = 16 << 10 // bytes of a status line with its headers
	maxChunkLineBytes   = 256      // bytes of a chunk's size line or of a trailer
	maxTrailers         = 64       // trailers
	maxInterimResponses = 16       // interim answers before one
	readBufferBytes     = 64 << 10
)

// ErrMalformed tells of an answer that is not HTTP/1.1.
var ErrMalformed = errors.New("malformed HTTP")

// Head is an answer's status and headers.
type Header struct {
	Status int
	Close  bool // the connection ends with this answer
	fields map[string]string
}

// Get is the value of a header, named in any case; empty if absent.
func (h Header) Field(name string) string { return h.fields[strings.ToLower(name)] }

// Reader reads the answers on one connection.
type Reader struct {
	source io.Reader
	buffer *readbuffer.Buffer
}

// NewReader reads answers from a connection.
func NewReader(src io.Reader) *Reader {
	return &Reader{source: src, buffer: readbuffer.New(readBufferBytes)}
}

// Buffered tells whether bytes were read that no call has taken.
func (r *Reader) Buffered() bool { return len(r.buffer.Bytes()) > 0 }

// Answer reads a whole answer, with a body of at most so many bytes. What claims to hold more is not read, and a
// body that only the end of the connection ends is none: nothing tells whether it came whole.
func (r *Reader) ReadResponse(most int) (Header, []byte, error) {
	head, err := r.ReadHeader()
	if err != nil {
		return head, nil, err
	}
	switch body := r.BodyReader(head).(type) {
	case untilCloseBody:
		return head, nil, fmt.Errorf("%w: a body without an end", ErrMalformed)
	case *fixedLengthBody:
		if body.remaining > int64(most) {
			return head, nil, fmt.Errorf("%w: body over %d bytes", ErrMalformed, most)
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.BodyReader(head), int64(most)+1))
	if err == nil && len(body) > most {
		err = fmt.Errorf("%w: body over %d bytes", ErrMalformed, most)
	}
	return head, body, err
}

// Head reads a status line and headers; interim answers are passed over.
func (r *Reader) ReadHeader() (Header, error) {
	for early := 0; ; {
		raw := r.buffer.Bytes()
		if i := bytes.Index(raw, []byte("\r\n\r\n")); i >= 0 && i <= maxHeaderBytes {
			head, err := ParseHeader(raw[:i])
			r.buffer.Discard(i + 4)
			if err != nil || head.Status >= 200 {
				return head, err
			}
			if early++; early > maxInterimResponses {
				return Header{}, fmt.Errorf("%w: over %d interim answers", ErrMalformed, maxInterimResponses)
			}
			continue
		}
		if len(raw) > maxHeaderBytes {
			return Header{}, fmt.Errorf("%w: headers over %d bytes", ErrMalformed, maxHeaderBytes)
		}
		if err := r.fill(); err != nil {
			return Header{}, err
		}
	}
}

// ParseHead reads a status line and headers, without the empty line that ends them.
func ParseHeader(raw []byte) (Header, error) {
	lines := strings.Split(string(raw), "\r\n")
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || (version != "HTTP/1.1" && version != "HTTP/1.0") {
		return Header{}, fmt.Errorf("%w: status line", ErrMalformed)
	}
	h := Header{Status: status, fields: make(map[string]string, len(lines)), Close: version == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\r\n") {
			return Header{}, fmt.Errorf("%w: header line", ErrMalformed)
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if old, twice := h.fields[name]; twice && name == "content-length" && old != value {
			return Header{}, fmt.Errorf("%w: two lengths", ErrMalformed)
		}
		h.fields[name] = value
	}
	if strings.EqualFold(h.Field("Connection"), "close") {
		h.Close = true
	}
	return h, nil
}

// Body reads the body that belongs to a head.
func (r *Reader) BodyReader(h Header) io.Reader {
	length := h.Field("Content-Length")
	n, err := strconv.ParseUint(length, 10, 62)
	switch {
	case h.Status == 204 || h.Status == 304:
		return &fixedLengthBody{r, 0}
	case h.Field("Transfer-Encoding") != "":
		if !strings.EqualFold(h.Field("Transfer-Encoding"), "chunked") {
			return failedBody{fmt.Errorf("%w: transfer coding", ErrMalformed)}
		}
		return &chunkedBody{r: r}
	case length == "":
		return untilCloseBody{r}
	case err != nil:
		return failedBody{fmt.Errorf("%w: length", ErrMalformed)}
	}
	return &fixedLengthBody{r, int64(n)}
}

func (r *Reader) fill() error {
	_, err := r.buffer.Fill(r.source)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

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

// line reads one line of a chunked body.
func (r *Reader) readLine() (string, error) {
	for {
		raw := r.buffer.Bytes()
		if i := bytes.Index(raw, []byte("\r\n")); i >= 0 && i <= maxChunkLineBytes {
			line := string(raw[:i])
			r.buffer.Discard(i + 2)
			return line, nil
		}
		if len(raw) > maxChunkLineBytes {
			return "", fmt.Errorf("%w: chunk line", ErrMalformed)
		}
		if err := r.fill(); err != nil {
			return "", err
		}
	}
}

type failedBody struct{ err error }

func (b failedBody) Read([]byte) (int, error) { return 0, b.err }

type untilCloseBody struct{ r *Reader }

func (u untilCloseBody) Read(p []byte) (int, error) {
	n, err := u.r.readBuffered(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

type fixedLengthBody struct {
	r         *Reader
	remaining int64
}

func (s *fixedLengthBody) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	n, err := s.r.readBuffered(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	return n, err
}

type chunkedBody struct {
	r         *Reader
	remaining int64
	started   bool
	finished  bool
}

func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.remaining == 0 && !c.finished {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if c.finished {
		return 0, io.EOF
	}
	n, err := c.r.readBuffered(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// next reads up to the next chunk's data, or past the last chunk and its trailers.
func (c *chunkedBody) nextChunk() error {
	if c.started {
		if line, err := c.r.readLine(); err != nil || line != "" {
			return errors.Join(err, fmt.Errorf("%w: end of chunk", ErrMalformed))
		}
	}
	c.started = true
	line, err := c.r.readLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	if err != nil {
		return fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	c.remaining, c.finished = int64(n), n == 0
	for i := 0; c.finished; i++ {
		line, err := c.r.readLine()
		if err != nil || line == "" {
			return err
		}
		if i >= maxTrailers {
			return fmt.Errorf("%w: trailers", ErrMalformed)
		}
	}
	return nil
}
