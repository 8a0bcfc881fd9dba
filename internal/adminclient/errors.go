package adminclient

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"bankledge/internal/configregister"
)

var (
	// ErrVersionNotFound is returned for a version that the group has never had or no longer stores.
	ErrVersionNotFound = errors.New("unknown or no longer stored")
	// ErrVersionNotActive is returned when a version does not come into force before the timeout.
	ErrVersionNotActive = errors.New("not in force yet: see status")
)

// errNotLeader is the error of an attempt at a process that is not the leader or can't serve the request at the moment. The client then
// tries another process.
var errNotLeader = errors.New("not the leader, or not available")

// RejectedError is returned for a request that the group rejected. Its text is the group's reason.
type RejectedError struct {
	Message string
	Cause   error // configregister.ErrRolloutInProgress: a retry may succeed; nil: a retry would be rejected again
}

func (e *RejectedError) Error() string { return e.Message }

// Unwrap returns the cause, if it is known.
func (e *RejectedError) Unwrap() error { return e.Cause }

// rolloutText matches the error of a proposal that has to wait for the rollout of an earlier version, as sent by a group of an older release
// that does not set Outcome.Code.
var rolloutText = regexp.MustCompile(`^version [0-9]+ is still spreading$`)

// outcomeError returns the error of an outcome, or nil if the outcome is a success.
func outcomeError(outcome configregister.Outcome) error {
	switch {
	case outcome.Error == "":
		return nil
	case outcome.Code == configregister.CodeRolloutInProgress || rolloutText.MatchString(outcome.Error):
		return &RejectedError{Message: outcome.Error, Cause: configregister.ErrRolloutInProgress}
	default:
		return &RejectedError{Message: outcome.Error}
	}
}

// isFinal reports whether a retry would return the same error.
func isFinal(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && !errors.Is(err, configregister.ErrRolloutInProgress)
}

// AddressError is the error of the last attempt at an address.
type AddressError struct {
	Address string
	Err     error
}

func (e AddressError) Error() string { return fmt.Sprintf("%s: %v", e.Address, e.Err) }

// Unwrap returns the error without the address.
func (e AddressError) Unwrap() error { return e.Err }

// UnavailableError is returned when no process of the group served the request before the timeout.
type UnavailableError struct {
	Addresses []AddressError // in the order of the client's addresses
}

func (e *UnavailableError) Error() string {
	var texts []string
	for _, address := range e.Addresses {
		texts = append(texts, address.Error())
	}
	return "the group does not answer: " + strings.Join(texts, "; ")
}

// Unwrap returns the error of each address.
func (e *UnavailableError) Unwrap() []error {
	var errs []error
	for _, address := range e.Addresses {
		errs = append(errs, address)
	}
	return errs
}
