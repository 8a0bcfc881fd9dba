// Package strictjson reads JSON that other programs and operators write. What is not understood is an error: ignored, it would be a
// setting or an instruction that nobody follows.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ErrTrailingData is returned where something other than white space stands behind the value.
var ErrTrailingData = errors.New("something stands behind it")

// Decode reads exactly one JSON value. Its error is that of encoding/json, also for an unknown field, or ErrTrailingData.
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
