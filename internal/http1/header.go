package http1

import (
	"strconv"
	"strings"
)

const (
	protocolHTTP11 = "HTTP/1.1"
	protocolHTTP10 = "HTTP/1.0" // connections are not persistent

	statusDigits = 3
	minStatus    = 100

	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

// Header holds a response's status and headers.
type Header struct {
	Status int
	Close  bool // the connection must not be used after this response

	fields map[string]string // values by lower-case name; the last value if a name occurs several times
}

// Field returns the value of a header, or "" if it is absent. The name is case-insensitive.
func (h Header) Field(name string) string { return h.fields[strings.ToLower(name)] }

// ParseHeader parses a status line and headers, which do not include the final empty line. Its errors wrap ErrMalformed.
func ParseHeader(raw []byte) (Header, error) {
	lines := strings.Split(string(raw), lineEnd)
	header, err := parseStatusLine(lines[0])
	if err != nil {
		return Header{}, err
	}
	header.fields = make(map[string]string, len(lines))
	for _, line := range lines[1:] {
		if err := header.addField(line); err != nil {
			return Header{}, err
		}
	}
	if strings.EqualFold(header.Field(fieldConnection), "close") {
		header.Close = true
	}
	return header, nil
}

func parseStatusLine(line string) (Header, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	validStatus := err == nil && len(code) == statusDigits && status >= minStatus
	if !validStatus || (version != protocolHTTP11 && version != protocolHTTP10) {
		return Header{}, malformed("status line")
	}
	return Header{Status: status, Close: version == protocolHTTP10}, nil
}

// addField parses a header line and adds it to the fields. Two different values of Content-Length are an error, since they
// make the response ambiguous.
func (h Header) addField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t\r\n") {
		return malformed("header line")
	}
	name = strings.ToLower(name)
	value = strings.Trim(value, " \t")
	previous, repeated := h.fields[name]
	if repeated && name == fieldContentLength && previous != value {
		return malformed("two lengths")
	}
	h.fields[name] = value
	return nil
}
