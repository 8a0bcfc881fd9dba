// Package jsonerror keeps the texts of encoding/json errors independent of the names of Go types. Such a text contains the name of the
// type that a value does not match, and users see it on standard error and in HTTP responses. With this package a type can be renamed
// without a change of these texts.
package jsonerror

import (
	"encoding/json"
	"errors"
	"strings"
)

// typeError is an error about a value of the wrong type. Its text contains published names instead of Go names.
type typeError struct {
	cause error
	text  string
}

func (e *typeError) Error() string { return e.text }

func (e *typeError) Unwrap() error { return e.cause }

// WithPublishedNames replaces the Go names in the text of an error about a value of the wrong type by their published names. It returns
// all other errors unchanged.
func WithPublishedNames(err error, names *strings.Replacer) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err
	}
	return &typeError{cause: err, text: names.Replace(err.Error())}
}
