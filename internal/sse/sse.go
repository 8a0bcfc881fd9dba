// Package sse reads server-sent events: lines that end with CR LF, LF or CR, a byte order mark, comments, events of several lines.
// Every size has a limit.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// Event is one event; a field that was not sent is empty.
type Event struct{ ID, Name, Data string }

// ErrTooLarge tells of an event beyond the limit.
var ErrTooLarge = errors.New("event too large")

// Handler hears what a stream brings.
type Handler struct {
	OnEvent   func(Event) error // an error ends the reading
	OnComment func()            // nil: comments are passed over
}

// Read hands out a stream until it ends (io.EOF), breaks, brings an event of over most bytes, or the handler returns an error.
func Read(body io.Reader, most int, handler Handler) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, min(most, 4<<10)), most)
	lines.Split(split)
	var data []string
	var e Event
	size, begun := 0, true
	for lines.Scan() {
		line := lines.Text()
		if begun {
			line, begun = strings.TrimPrefix(line, "\ufeff"), false
		}
		if line == "" {
			if len(data) > 0 {
				e.Data = strings.Join(data, "\n")
				if err := handler.OnEvent(e); err != nil {
					return err
				}
			}
			data, e, size = nil, Event{}, 0
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "data":
			if size += len(value); size > most {
				return ErrTooLarge
			}
			data = append(data, value)
		case "id":
			e.ID = value
		case "event":
			e.Name = value
		case "":
			if handler.OnComment != nil {
				handler.OnComment()
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// split splits at CR LF, LF or CR. A CR at the end of what was read waits for what follows.
func split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	i := bytes.IndexAny(data, "\r\n")
	switch {
	case i < 0 && atEOF && len(data) > 0:
		return len(data), data, nil
	case i < 0:
		return 0, nil, nil
	case data[i] == '\n':
		return i + 1, data[:i], nil
	case i+1 < len(data) && data[i+1] == '\n':
		return i + 2, data[:i], nil
	case i+1 == len(data) && !atEOF:
		return 0, nil, nil
	}
	return i + 1, data[:i], nil
}
