package controlserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/rules"
)

// Client is an operator's: it finds the process that leads, and asks again what was not answered.
type Client struct {
	addresses []string
	within    time.Duration
	http      *http.Client
	lead      int // address that answered last
}

const (
	callWithin = 10 * time.Second
	tryAgain   = 100 * time.Millisecond
	mostAnswer = 64 << 20
)

// NewClient returns one for a group's addresses; each call of it tries for so long.
func NewClient(addresses []string, within time.Duration) *Client {
	return &Client{addresses: addresses, within: within, http: &http.Client{Timeout: callWithin}}
}

// errElsewhere tells that another process has to be asked.
var errElsewhere = errors.New("this process does not lead")

// call asks each address in turn until one answers for the group.
func (c *Client) call(method, path string, what any, into any, fit func() error) error {
	until := time.Now().Add(c.within)
	var raw []byte
	if what != nil {
		var err error
		if raw, err = json.Marshal(what); err != nil {
			return err
		}
	}
	for {
		last := map[string]error{}
		for range c.addresses {
			err := c.once(method, c.addresses[c.lead%len(c.addresses)], path, raw, into)
			if err == nil {
				err = fit()
			}
			if err == nil {
				return nil
			}
			if final := (final{}); errors.As(err, &final) {
				return err
			}
			last[c.addresses[c.lead%len(c.addresses)]] = err
			c.lead++
		}
		if time.Now().After(until) {
			var text []string
			for _, a := range c.addresses {
				text = append(text, fmt.Sprintf("%s: %v", a, last[a]))
			}
			return fmt.Errorf("the group does not answer: %s", strings.Join(text, "; "))
		}
		time.Sleep(tryAgain)
	}
}

// final is an answer that another try would not change.
type final struct{ text string }

func (f final) Error() string { return f.text }

func (c *Client) once(method, address, path string, raw []byte, into any) error {
	ask, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	said, err := c.http.Do(ask)
	if err != nil {
		return err
	}
	defer said.Body.Close()
	body, err := io.ReadAll(io.LimitReader(said.Body, mostAnswer))
	switch {
	case err != nil:
		return err
	case said.StatusCode == http.StatusBadRequest:
		return final{strings.TrimSpace(string(body))}
	case said.StatusCode == http.StatusOK || said.StatusCode == http.StatusConflict:
		return json.Unmarshal(body, into)
	}
	return errElsewhere
}

// Propose proposes a version. It is asked for under one id, so however often it is sent it counts once.
func (c *Client) Propose(e configregister.Entry) (o configregister.Outcome, err error) {
	err = c.call("POST", "/v1/proposals", e, &o, func() error {
		text := o.Error
		o.Error = "" // an answer that comes later may not name it
		switch {
		case strings.Contains(text, configregister.ErrRolloutInProgress.Error()):
			return errors.New(text)
		case text != "":
			return final{text}
		}
		return nil
	})
	return o, err
}

// Status is the group's, by the process that can prove that it leads; else by one that can't.
func (c *Client) Status() (*Status, error) {
	var s Status
	short := *c
	short.within = min(c.within, 3*time.Second)
	var other *Status
	err := short.call("GET", "/v1/status", nil, &s, func() error {
		if !s.IsLeader {
			seen := s
			other, s = &seen, Status{}
			return errElsewhere
		}
		return nil
	})
	if err != nil && other != nil {
		return other, nil
	}
	return &s, err
}

// Versions lists what is kept.
func (c *Client) Versions() (*VersionList, error) {
	var v VersionList
	err := c.call("GET", "/v1/versions", nil, &v, func() error { return nil })
	return &v, err
}

// Rules are those of a version.
func (c *Client) VersionRules(number uint64) (*rules.Rules, error) {
	list, err := c.Versions()
	if err != nil {
		return nil, err
	}
	for _, v := range list.Versions {
		if v.Number == number {
			return v.Rules, nil
		}
	}
	return nil, fmt.Errorf("version %d is not kept", number)
}

// AwaitSettled waits until a version is in force.
func (c *Client) AwaitActivated(number uint64) error {
	until := time.Now().Add(c.within)
	for {
		s, err := c.Status()
		switch {
		case err == nil && s.Activated >= number:
			return nil
		case time.Now().After(until):
			return fmt.Errorf("version %d is not in force yet: see status", number)
		}
		time.Sleep(tryAgain / 5)
	}
}

// Change changes the members.
func (c *Client) ChangeMembership(change Change) error {
	var o configregister.Outcome
	return c.call("POST", "/v1/members", change, &o, func() error {
		if o.Error != "" {
			return final{o.Error}
		}
		return nil
	})
}
