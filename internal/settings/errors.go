package settings

import "fmt"

// FieldError says what is wrong with a field of a configuration.
type FieldError struct {
	Field string // its key, with those of the objects around it
	Err   error
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownWordError is a word that does not stand for any value of its field.
type UnknownWordError struct{ Word string }

// Error names the word.
func (e UnknownWordError) Error() string { return fmt.Sprintf("unknown word %q", e.Word) }

// AddressError is a text that is not an IP address with a port.
type AddressError struct{ Text string }

// Error names the text.
func (e AddressError) Error() string { return fmt.Sprintf("%q is not an address with a port", e.Text) }
