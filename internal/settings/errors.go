package settings

import "fmt"

// FieldError is the error of an invalid field of a configuration.
type FieldError struct {
	Field string // JSON key, preceded by the keys of the enclosing objects
	Err   error
}

// Error returns the field's key and its error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the field's error.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownValueError is the error of a text that is not an allowed value of its field.
type UnknownValueError struct{ Value string }

// Error returns a text that quotes the value.
func (e UnknownValueError) Error() string { return fmt.Sprintf("unknown word %q", e.Value) }

// AddressError is the error of a text that is not an IP address with a port.
type AddressError struct{ Text string }

// Error returns a text that quotes the invalid address.
func (e AddressError) Error() string {
	return fmt.Sprintf("invalid address %q: must be an IP address and a port from 0 to 65535, such as 127.0.0.1:7200 or [::1]:7200", e.Text)
}
