package adminclient

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"bankledge/internal/configregister"
)

var (
	// ErrVersionNotKept is returned for a version that the group does not have or has dropped.
	ErrVersionNotKept = errors.New("not kept")
	// ErrVersionNotActive is returned when a version does not come into force in time.
	ErrVersionNotActive = errors.New("not in force yet: see status")
)

// errNotLeader means that another process has to be tried.
var errNotLeader = errors.New("this process does not lead")

// RejectedError is returned for a request that the group rejected, with the group's reason as its text.
type RejectedError struct {
	Message string
	Cause   error // configregister.ErrRolloutInProgress: a retry may succeed; nil: it would be rejected again
}

func (e *RejectedError) Error() string { return e.Message }

// Unwrap returns the cause, if it is known.
func (e *RejectedError) Unwrap() error { return e.Cause }

// rolloutText is the error of a proposal that has to wait, as a group sends it that knows no codes yet.
var rolloutText = regexp.MustCompile(`^version [0-9]+ is still spreading$`)

// outcomeError returns the error of an outcome; nil on success.
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

// AddressError is the error of the last attempt at one address.
type AddressError struct {
	Address string
	Err     error
}

func (e AddressError) Error() string { return fmt.Sprintf("%s: %v", e.Address, e.Err) }

// Unwrap returns the error without the address.
func (e AddressError) Unwrap() error { return e.Err }

// UnavailableError is returned when no process answered for the group in time.
type UnavailableError struct {
	Addresses []AddressError // in the order in which the client was given them
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
