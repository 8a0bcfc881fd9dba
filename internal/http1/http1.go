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
	mostHead  = 16 << 10 // bytes of a status line with its headers
	mostLine  = 256      // bytes of a chunk's size line or of a trailer
	mostLines = 64       // trailers
	mostEarly = 16       // interim answers before one
	readAhead = 64 << 10
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
	src io.Reader
	buf *readbuffer.Buffer
}

// NewReader reads answers from a connection.
func NewReader(src io.Reader) *Reader { return &Reader{src: src, buf: readbuffer.New(readAhead)} }

// Buffered tells whether bytes were read that no call has taken.
func (r *Reader) Buffered() bool { return len(r.buf.Bytes()) > 0 }

// Answer reads a whole answer, with a body of at most so many bytes. What claims to hold more is not read, and a
// body that only the end of the connection ends is none: nothing tells whether it came whole.
func (r *Reader) ReadResponse(most int) (Header, []byte, error) {
	head, err := r.ReadHeader()
	if err != nil {
		return head, nil, err
	}
	switch body := r.BodyReader(head).(type) {
	case untilEnd:
		return head, nil, fmt.Errorf("%w: a body without an end", ErrMalformed)
	case *sized:
		if body.left > int64(most) {
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
		raw := r.buf.Bytes()
		if i := bytes.Index(raw, []byte("\r\n\r\n")); i >= 0 && i <= mostHead {
			head, err := ParseHeader(raw[:i])
			r.buf.Discard(i + 4)
			if err != nil || head.Status >= 200 {
				return head, err
			}
			if early++; early > mostEarly {
				return Header{}, fmt.Errorf("%w: over %d interim answers", ErrMalformed, mostEarly)
			}
			continue
		}
		if len(raw) > mostHead {
			return Header{}, fmt.Errorf("%w: headers over %d bytes", ErrMalformed, mostHead)
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
		return &sized{r, 0}
	case h.Field("Transfer-Encoding") != "":
		if !strings.EqualFold(h.Field("Transfer-Encoding"), "chunked") {
			return broken{fmt.Errorf("%w: transfer coding", ErrMalformed)}
		}
		return &chunked{r: r}
	case length == "":
		return untilEnd{r}
	case err != nil:
		return broken{fmt.Errorf("%w: length", ErrMalformed)}
	}
	return &sized{r, int64(n)}
}

func (r *Reader) fill() error {
	_, err := r.buf.Fill(r.src)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) take(p []byte) (int, error) {
	for len(r.buf.Bytes()) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buf.Bytes())
	r.buf.Discard(n)
	return n, nil
}

// line reads one line of a chunked body.
func (r *Reader) line() (string, error) {
	for {
		raw := r.buf.Bytes()
		if i := bytes.Index(raw, []byte("\r\n")); i >= 0 && i <= mostLine {
			line := string(raw[:i])
			r.buf.Discard(i + 2)
			return line, nil
		}
		if len(raw) > mostLine {
			return "", fmt.Errorf("%w: chunk line", ErrMalformed)
		}
		if err := r.fill(); err != nil {
			return "", err
		}
	}
}

type broken struct{ err error }

func (b broken) Read([]byte) (int, error) { return 0, b.err }

type untilEnd struct{ r *Reader }

func (u untilEnd) Read(p []byte) (int, error) {
	n, err := u.r.take(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

type sized struct {
	r    *Reader
	left int64
}

func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.take(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}

type chunked struct {
	r     *Reader
	left  int64
	begun bool
	ended bool
}

func (c *chunked) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.r.take(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}

// next reads up to the next chunk's data, or past the last chunk and its trailers.
func (c *chunked) next() error {
	if c.begun {
		if line, err := c.r.line(); err != nil || line != "" {
			return errors.Join(err, fmt.Errorf("%w: end of chunk", ErrMalformed))
		}
	}
	c.begun = true
	line, err := c.r.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	if err != nil {
		return fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	c.left, c.ended = int64(n), n == 0
	for i := 0; c.ended; i++ {
		line, err := c.r.line()
		if err != nil || line == "" {
			return err
		}
		if i >= mostLines {
			return fmt.Errorf("%w: trailers", ErrMalformed)
		}
	}
	return nil
}
