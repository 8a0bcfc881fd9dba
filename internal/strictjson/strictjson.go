// Package strictjson decodes JSON from other programs and operators. Unknown fields and trailing data are errors: if they were ignored, a
// setting or an instruction would silently have no effect.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ErrTrailingData is returned if something other than white space follows the value.
var ErrTrailingData = errors.New("something stands behind it")

// Decode decodes exactly one JSON value. It returns an error of encoding/json, also for an unknown field, or ErrTrailingData.
func Decode(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return ErrTrailingData
	}
	return nil
}
