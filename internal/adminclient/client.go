// Package adminclient is the operators' HTTP client of a control group. It finds the leader among the group's processes and retries failed
// requests until a timeout.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/controlapi"
	"bankledge/internal/rules"
)

const (
	requestTimeout   = 10 * time.Second       // of one attempt at one address
	retryInterval    = 100 * time.Millisecond // between two rounds over all addresses
	activationPoll   = 20 * time.Millisecond  // between two polls of the status in AwaitActivated
	maxStatusTimeout = 3 * time.Second        // limits the wait of Status for a leader
	maxResponseBytes = 64 << 20
)

// Client calls the processes of one control group. It is not safe for concurrent use.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	next      int // index, modulo the number of addresses, of the address to try first: the one that served the last call
}

// New returns a client of the group at these addresses. Each call retries until timeout has elapsed.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{
		addresses: addresses,
		timeout:   timeout,
		http:      &http.Client{Timeout: requestTimeout},
	}
}

// Propose proposes a configuration version and returns the outcome, which holds the version's number. The entry's id makes the proposal
// idempotent: the group applies it once, however often it is sent. The proposal is retried while an earlier version is being rolled out.
// The error is a *RejectedError or an *UnavailableError.
func (c *Client) Propose(ctx context.Context, entry configregister.Entry) (configregister.Outcome, error) {
	return call(ctx, c, http.MethodPost, controlapi.ProposalsPath, entry, outcomeError)
}

// ChangeMembership adds a process to the group or removes one. The error is a *RejectedError or an *UnavailableError.
func (c *Client) ChangeMembership(ctx context.Context, change controlapi.MembershipChange) error {
	_, err := call(ctx, c, http.MethodPost, controlapi.MembersPath, change, outcomeError)
	return err
}

// Status returns the leader's status. If no process proves to be the leader within the timeout, or within maxStatusTimeout if that is
// shorter, it returns the status of one that answered.
func (c *Client) Status(ctx context.Context) (*controlapi.Status, error) {
	statusClient := *c
	statusClient.timeout = min(c.timeout, maxStatusTimeout)
	var follower *controlapi.Status
	status, err := call(ctx, &statusClient, http.MethodGet, controlapi.StatusPath, nil, func(status controlapi.Status) error {
		if status.IsLeader {
			return nil
		}
		follower = &status
		return errNotLeader
	})
	if err != nil && follower != nil {
		return follower, nil
	}
	return &status, err
}

// Versions returns the versions that the group still stores.
func (c *Client) Versions(ctx context.Context) (*controlapi.VersionList, error) {
	list, err := call(ctx, c, http.MethodGet, controlapi.VersionsPath, nil, func(controlapi.VersionList) error { return nil })
	return &list, err
}

// VersionRules returns the rules of one version. The error wraps ErrVersionNotFound if the group does not store it.
func (c *Client) VersionRules(ctx context.Context, number uint64) (*rules.Rules, error) {
	list, err := c.Versions(ctx)
	if err != nil {
		return nil, err
	}
	for _, version := range list.Versions {
		if version.Number == number {
			return version.Rules, nil
		}
	}
	return nil, fmt.Errorf("version %d is %w", number, ErrVersionNotFound)
}

// AwaitActivated waits until a version is in force. The error wraps ErrVersionNotActive if that takes longer than the
// client's timeout.
func (c *Client) AwaitActivated(ctx context.Context, number uint64) error {
	deadline := time.Now().Add(c.timeout)
	for {
		status, err := c.Status(ctx)
		if err == nil && status.Activated >= number {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is %w", number, ErrVersionNotActive)
		}
		if err := sleep(ctx, activationPoll); err != nil {
			return err
		}
	}
}

// call sends a request to each address in turn until accept returns nil for a response, a retry would return the same error, or the timeout
// has elapsed. It tries each address at least once.
func call[T any](ctx context.Context, c *Client, method, path string, request any, accept func(T) error) (response T, err error) {
	deadline := time.Now().Add(c.timeout)
	var body []byte
	if request != nil {
		if body, err = json.Marshal(request); err != nil {
			return response, err
		}
	}
	lastErrors := map[string]error{}
	for {
		for range c.addresses {
			address := c.addresses[c.next%len(c.addresses)]
			response, err = attempt[T](ctx, c, method, address, path, body)
			if err == nil {
				err = accept(response)
			}
			if err == nil || isFinal(err) {
				return response, err
			}
			lastErrors[address] = err
			c.next++
		}
		if time.Now().After(deadline) {
			return response, c.unavailable(lastErrors)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return response, err
		}
	}
}

// attempt sends a request once. It returns errNotLeader for any status other than 200, 400 and 409, so that the caller tries another
// process.
func attempt[T any](ctx context.Context, c *Client, method, address, path string, body []byte) (response T, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return response, err
	}
	defer httpResponse.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response, err
	}
	switch httpResponse.StatusCode {
	case http.StatusBadRequest:
		return response, &RejectedError{Message: strings.TrimSpace(string(raw))}
	case http.StatusOK, http.StatusConflict:
		err = json.Unmarshal(raw, &response)
		return response, err
	default:
		return response, errNotLeader
	}
}

func (c *Client) unavailable(lastErrors map[string]error) error {
	unavailable := &UnavailableError{}
	for _, address := range c.addresses {
		unavailable.Addresses = append(unavailable.Addresses, AddressError{Address: address, Err: lastErrors[address]})
	}
	return unavailable
}

// sleep waits for d, or returns the context's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
