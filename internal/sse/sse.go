// Package sse reads a stream of server-sent events (text/event-stream of the HTML standard). It handles lines that end with CR LF, LF or
// CR, a byte order mark, comments and events whose data has several lines. The sizes of lines and events are limited.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

const (
	byteOrderMark     = "\ufeff"
	initialBufferSize = 4 << 10 // bytes; the buffer grows up to the limit
)

// ErrTooLarge is returned for an event whose data exceeds the limit. For a line that exceeds it, bufio.ErrTooLong is returned.
var ErrTooLarge = errors.New("event data exceeds the size limit")

// Event is a server-sent event. A field that was not sent is empty.
type Event struct{ ID, Name, Data string }

// Handler receives the events and comments of a stream.
type Handler struct {
	OnEvent   func(Event) error // an error makes Read stop and return it
	OnComment func()            // nil: comments are ignored
}

// Read passes the events and comments of a stream to the handler until the stream ends (io.EOF) or fails, an event or a line exceeds
// maxBytes, or OnEvent returns an error. It never returns nil.
func Read(body io.Reader, maxBytes int, handler Handler) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, min(maxBytes, initialBufferSize)), maxBytes)
	lines.Split(new(lineSplitter).split)
	parser := parser{handler: handler, maxBytes: maxBytes}
	firstLine := true
	for lines.Scan() {
		line := lines.Text()
		if firstLine {
			line = strings.TrimPrefix(line, byteOrderMark)
			firstLine = false
		}
		if err := parser.handleLine(line); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// parser accumulates the lines of one event.
type parser struct {
	handler  Handler
	maxBytes int
	event    Event
	data     []string
	size     int // total size of data in bytes
}

// handleLine handles a line, which does not include the line ending. An empty line ends the event.
func (p *parser) handleLine(line string) error {
	if line == "" {
		return p.dispatchEvent()
	}
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "data":
		p.size += len(value)
		if p.size > p.maxBytes {
			return ErrTooLarge
		}
		p.data = append(p.data, value)
	case "id":
		p.event.ID = value
	case "event":
		p.event.Name = value
	case "": // a comment
		if p.handler.OnComment != nil {
			p.handler.OnComment()
		}
	}
	return nil
}

// dispatchEvent passes the accumulated event to the handler, unless the event has no data, and resets the parser.
func (p *parser) dispatchEvent() error {
	event := p.event
	data := p.data
	p.event = Event{}
	p.data = nil
	p.size = 0
	if len(data) == 0 {
		return nil
	}
	event.Data = strings.Join(data, "\n")
	return p.handler.OnEvent(event)
}

// lineSplitter splits a stream into lines that end with CR LF, LF or CR. A line that ends with a CR is complete with it: the next byte may
// arrive much later. An LF that follows is skipped.
type lineSplitter struct{ skipLF bool }

// split is a bufio.SplitFunc.
func (s *lineSplitter) split(data []byte, atEOF bool) (advance int, line []byte, err error) {
	start := 0
	if s.skipLF && len(data) > 0 {
		s.skipLF = false
		if data[0] == '\n' {
			start = 1
		}
	}
	length := bytes.IndexAny(data[start:], "\r\n")
	if length < 0 {
		if atEOF && start < len(data) {
			return len(data), data[start:], nil
		}
		return start, nil, nil
	}
	end := start + length
	s.skipLF = data[end] == '\r'
	return end + 1, data[start:end], nil
}
