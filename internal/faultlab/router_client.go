package faultlab

import (
	"context"
	"errors"
	"time"

	"bankledge/internal/fakes"
)

// maxInFlight is how many statements share a connection.
const maxInFlight = 24

// Why a client has no answer.
var (
	errClientLeft = errors.New("the client left")
	errNoAnswer   = errors.New("no answer")
)

// send sends a statement and waits for its answer, no longer than within. leaveAfter: the client cancels after that time, and the
// answer's error is errClientLeft; 0: it does not.
func (r *router) send(ctx context.Context, within, leaveAfter time.Duration, fields map[string]string, text string) fakes.Answer {
	c, err := r.reserveClient()
	if err != nil {
		return fakes.Answer{Err: err}
	}
	defer r.releaseClient(c)
	var leaves <-chan time.Time
	if leaveAfter > 0 {
		leaves = time.After(leaveAfter)
	}
	stream, answer := c.Open(fields, text)
	select {
	case a := <-answer:
		return a
	case <-leaves:
		c.Cancel(stream)
		return fakes.Answer{Err: errClientLeft}
	case <-time.After(within):
		return fakes.Answer{Err: errNoAnswer, Took: within}
	case <-ctx.Done():
		return fakes.Answer{Err: ctx.Err()}
	}
}

// reserveClient returns a connection with room for a statement, a new one if there is none, and forgets those that have ended.
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
	c.UseWhileDraining = r.fleet.schedule.UseWhileDraining
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
