// Package jsonerror keeps the texts of encoding/json's errors independent of the names of Go types. Such a text contains the name of
// the type that a value does not fit, and it is read outside the program: on standard error and in answers over HTTP. A type may be
// renamed without a change of those texts.
package jsonerror

import (
	"encoding/json"
	"errors"
	"strings"
)

// typeError is an error about a value of the wrong type whose text has the published names.
type typeError struct {
	cause error
	text  string
}

func (e *typeError) Error() string { return e.text }

func (e *typeError) Unwrap() error { return e.cause }

// WithPublishedNames returns err with the Go names in its text replaced by those that were published, if it is about a value of the
// wrong type. All other errors are returned as they are.
func WithPublishedNames(err error, names *strings.Replacer) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err
	}
	return &typeError{cause: err, text: names.Replace(err.Error())}
}
