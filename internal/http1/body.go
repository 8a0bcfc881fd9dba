package http1

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	maxChunkLineBytes = 256 // limit for a chunk's size line and for a trailer
	maxTrailers       = 64

	lengthBits = 62 // maximum bits of a length, so that it fits into an int64
)

// BodyReader returns a reader of the body that follows a header. The body must be read to its end before the next response is read.
func (r *Reader) BodyReader(header Header) io.Reader {
	if header.Status == statusNoContent || header.Status == statusNotModified {
		return &fixedLengthBody{reader: r}
	}
	if coding := header.Field(fieldTransferEncoding); coding != "" {
		if !strings.EqualFold(coding, "chunked") {
			return errorBody{malformed("transfer coding")}
		}
		return &chunkedBody{reader: r}
	}
	length := header.Field(fieldContentLength)
	if length == "" {
		return untilCloseBody{r}
	}
	remaining, err := strconv.ParseUint(length, 10, lengthBits)
	if err != nil {
		return errorBody{malformed("length")}
	}
	return &fixedLengthBody{reader: r, remaining: int64(remaining)}
}

// errorBody is the body of a response with invalid framing. Each read fails.
type errorBody struct{ err error }

func (b errorBody) Read([]byte) (int, error) { return 0, b.err }

// untilCloseBody is a body that ends when the connection is closed.
type untilCloseBody struct{ reader *Reader }

func (b untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.reader.readBuffered(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

// fixedLengthBody is a body of a known length.
type fixedLengthBody struct {
	reader    *Reader
	remaining int64
}

func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.readBuffered(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// chunkedBody is a body in the chunked transfer coding.
type chunkedBody struct {
	reader    *Reader
	remaining int64 // unread bytes of the current chunk
	started   bool  // the first chunk has begun
	finished  bool  // the last chunk and the trailers were read
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 && !b.finished {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.finished {
		return 0, io.EOF
	}
	n, err := b.reader.readBuffered(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// nextChunk reads up to the next chunk's data, or past the last chunk and its trailers.
func (b *chunkedBody) nextChunk() error {
	if b.started {
		if err := b.endChunk(); err != nil {
			return err
		}
	}
	b.started = true
	line, err := b.reader.readLine()
	if err != nil {
		return err
	}
	sizeText, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
	size, err := strconv.ParseUint(strings.TrimSpace(sizeText), 16, lengthBits)
	if err != nil {
		return malformed("chunk size")
	}
	b.remaining = int64(size)
	b.finished = size == 0
	if b.finished {
		return b.skipTrailers()
	}
	return nil
}

// endChunk reads the line ending after a chunk's data.
func (b *chunkedBody) endChunk() error {
	line, err := b.reader.readLine()
	if err != nil || line != "" {
		return errors.Join(err, malformed("end of chunk"))
	}
	return nil
}

// skipTrailers reads the trailers and the empty line after them.
func (b *chunkedBody) skipTrailers() error {
	for trailers := 0; ; trailers++ {
		line, err := b.reader.readLine()
		if err != nil || line == "" {
			return err
		}
		if trailers >= maxTrailers {
			return malformed("trailers")
		}
	}
}

// readLine reads one line of a chunked body and returns it without its line ending.
func (r *Reader) readLine() (string, error) {
	for {
		buffered := r.buffer.Bytes()
		end := bytes.Index(buffered, []byte(lineEnd))
		if end >= 0 && end <= maxChunkLineBytes {
			line := string(buffered[:end])
			r.buffer.Discard(end + len(lineEnd))
			return line, nil
		}
		if len(buffered) > maxChunkLineBytes {
			return "", malformed("chunk line")
		}
		if err := r.fill(); err != nil {
			return "", err
		}
	}
}
