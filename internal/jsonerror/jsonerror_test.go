package jsonerror

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

type renamed struct {
	ID int `json:"id"`
}

func TestWithPublishedNames(t *testing.T) {
	names := strings.NewReplacer("jsonerror.renamed", "old.Name", "field renamed.", "field Name.")
	for _, c := range []struct {
		name, raw, text string
	}{
		{"a field", `{"id":"x"}`, "json: cannot unmarshal string into Go struct field Name.id of type int"},
		{"the value itself", `[]`, "json: cannot unmarshal array into Go value of type old.Name"},
		{"another error keeps its text", `{"renamed.`, "unexpected end of JSON input"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.EqualError(t, WithPublishedNames(json.Unmarshal([]byte(c.raw), new(renamed)), names), c.text)
		})
	}
	assert.NoError(t, WithPublishedNames(nil, names))
	assert.ErrorIs(t, WithPublishedNames(io.EOF, names), io.EOF)
	wrongType := new(json.UnmarshalTypeError)
	assert.ErrorAs(t, WithPublishedNames(json.Unmarshal([]byte(`[]`), new(renamed)), names), &wrongType)
}
