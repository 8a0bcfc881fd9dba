package sse

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

var errHandler = errors.New("handler error")

func TestRead(t *testing.T) {
	const maxBytes = 40
	half := strings.Repeat("x", maxBytes/2)
	for _, c := range []struct {
		name, stream string
		events       []Event
		comments     int
		err          error
	}{
		{name: "nothing", err: io.EOF},
		{name: "LF", stream: "data: a\n\ndata: b\n\n", events: []Event{{Data: "a"}, {Data: "b"}}, err: io.EOF},
		{name: "CR LF", stream: "data: a\r\n\r\ndata: b\r\n\r\n", events: []Event{{Data: "a"}, {Data: "b"}}, err: io.EOF},
		{name: "CR", stream: "data: a\r\rdata: b\r\r", events: []Event{{Data: "a"}, {Data: "b"}}, err: io.EOF},
		{name: "byte order mark", stream: "\ufeffdata: a\n\n", events: []Event{{Data: "a"}}, err: io.EOF},
		{name: "byte order mark that is not at the start", stream: "\n\ufeffdata: a\n\n", err: io.EOF},
		{name: "all fields", stream: "id: 7\nevent: list\ndata: a\nretry: 10\nunknown\n\n", events: []Event{{ID: "7", Name: "list", Data: "a"}}, err: io.EOF},
		{name: "several data lines", stream: "data: a\ndata:b\ndata:  c\ndata\n\n", events: []Event{{Data: "a\nb\n c\n"}}, err: io.EOF},
		{name: "no data", stream: "id: 7\n\ndata: a\n\n", events: []Event{{Data: "a"}}, err: io.EOF},
		{name: "comments", stream: ":\n\n: text\ndata: a\n\n", events: []Event{{Data: "a"}}, comments: 2, err: io.EOF},
		{name: "an incomplete event", stream: "data: a\n", err: io.EOF},
		{name: "at the limit", stream: "data:" + half + "\ndata:" + half + "\n\n", events: []Event{{Data: half + "\n" + half}}, err: io.EOF},
		{name: "event too large", stream: "data:" + half + "\ndata:" + half + "x\n\n", err: ErrTooLarge},
		{name: "line too long", stream: "data: " + half + half + "\n\n", err: bufio.ErrTooLong},
		{name: "the handler fails", stream: "data: fail\n\ndata: a\n\n", events: []Event{{Data: "fail"}}, err: errHandler},
	} {
		t.Run(c.name, func(t *testing.T) {
			for mode, body := range map[string]io.Reader{"at once": strings.NewReader(c.stream), "byte by byte": iotest.OneByteReader(strings.NewReader(c.stream))} {
				var events []Event
				comments := 0
				err := Read(body, maxBytes, Handler{
					OnEvent: func(event Event) error {
						events = append(events, event)
						if event.Data == "fail" {
							return errHandler
						}
						return nil
					},
					OnComment: func() { comments++ },
				})
				assert.ErrorIs(t, err, c.err, mode)
				assert.Equal(t, c.events, events, mode)
				assert.Equal(t, c.comments, comments, mode)
			}
		})
	}
}

// Read returns the error of a broken connection, and delivers no incomplete event.
func TestReadBrokenStream(t *testing.T) {
	broken := errors.New("connection reset")
	body := io.MultiReader(strings.NewReader("data: a\n"), iotest.ErrReader(broken))
	err := Read(body, 100, Handler{OnEvent: func(Event) error { t.Error("an incomplete event was delivered"); return nil }})
	assert.ErrorIs(t, err, broken)
}

// deliveryChecker delivers a stream in pieces. Each read after an event was delivered completely checks that the event was handled.
type deliveryChecker struct {
	t         *testing.T
	pieces    []string
	handled   *int
	delivered int // events that the pieces delivered so far contain
	eventEnd  string
}

func (d *deliveryChecker) Read(p []byte) (int, error) {
	assert.Equal(d.t, d.delivered, *d.handled, "events handled before the next read")
	if len(d.pieces) == 0 {
		return 0, io.EOF
	}
	piece := d.pieces[0]
	d.pieces = d.pieces[1:]
	d.delivered += strings.Count(piece, d.eventEnd)
	return copy(p, piece), nil
}

// Guards against a drain that is acted on late: an event was handled only when the byte after its last CR arrived.
func TestEventIsHandledWithoutFurtherInput(t *testing.T) {
	for _, c := range []struct {
		name, eventEnd string
		pieces         []string
	}{
		{"LF", "\n\n", []string{":\n", "data: a\n\n", ":\n", "data: b\n\n"}},
		{"CR", "\r\r", []string{":\r", "data: a\r\r", ":\r", "data: b\r\r"}},
		{"CR, two events at once", "\r\r", []string{"data: a\r\rdata: b\r\r"}},
		{"CR LF", "\r\n\r\n", []string{":\r\n", "data: a\r\n\r\n", ":\r\n", "data: b\r\n\r\n"}},
		{"CR LF, the last LF later", "\r\n\r", []string{"data: a\r\n\r", "\n", "data: b\r\n\r", "\n:\r\n", ":\r\n"}},
		{"CR, then LF", "\r\n", []string{"data: a\r", "\r\n", "data: b\r\r\n", "\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			handled := 0
			stream := &deliveryChecker{t: t, pieces: c.pieces, handled: &handled, eventEnd: c.eventEnd}
			err := Read(stream, 100, Handler{OnEvent: func(Event) error { handled++; return nil }})
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, 2, handled)
		})
	}
}
