package faultlab

import (
	"context"
	"errors"
	"time"

	"bankledge/internal/fakes"
)

// maxInFlight is the largest number of concurrent statements on a connection.
const maxInFlight = 24

// Reasons why a client has no answer.
var (
	errClientCancelled = errors.New("the client cancelled")
	errNoAnswer        = errors.New("no answer")
)

// send sends a statement and waits for its answer, no longer than within. If cancelAfter is not 0, the client cancels after that time and
// the answer's error is errClientCancelled.
func (r *router) send(ctx context.Context, within, cancelAfter time.Duration, fields map[string]string, text string) fakes.Answer {
	c, err := r.reserveClient()
	if err != nil {
		return fakes.Answer{Err: err}
	}
	defer r.releaseClient(c)
	var cancelled <-chan time.Time
	if cancelAfter > 0 {
		cancelled = time.After(cancelAfter)
	}
	stream, answer := c.Open(fields, text)
	select {
	case a := <-answer:
		return a
	case <-cancelled:
		c.Cancel(stream)
		return fakes.Answer{Err: errClientCancelled}
	case <-time.After(within):
		return fakes.Answer{Err: errNoAnswer, Took: within}
	case <-ctx.Done():
		return fakes.Answer{Err: ctx.Err()}
	}
}

// reserveClient returns a connection with capacity for a statement, opening a new one if needed. It removes connections that have ended.
func (r *router) reserveClient() (*fakes.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 0; i < len(r.clients); i++ {
		c := r.clients[i]
		if c.Ended() {
			r.clients = append(r.clients[:i], r.clients[i+1:]...)
			i--
			continue
		}
		if r.inFlight[c] < maxInFlight {
			r.inFlight[c]++
			return c, nil
		}
	}
	c, err := fakes.Dial(r.clientLink.Address())
	if err != nil {
		return nil, err
	}
	c.UseWhileDraining = r.fleet.scenario.UseWhileDraining
	c.OnDuplicate = func(uint32) { r.fleet.record(Event{Kind: DuplicateAnswer, Router: r.index}) }
	r.clients = append(r.clients, c)
	r.inFlight[c] = 1
	return c, nil
}

func (r *router) releaseClient(c *fakes.Client) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[c]--
}
