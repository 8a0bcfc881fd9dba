package http1

import (
	"strconv"
	"strings"
)

const (
	protocol    = "HTTP/1.1"
	protocolOld = "HTTP/1.0" // without persistent connections

	statusDigits = 3
	minStatus    = 100

	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

// Header is a response's status and headers.
type Header struct {
	Status int
	Close  bool // the connection ends with this response

	fields map[string]string // by name in lower case; of several with one name, the last
}

// Field returns the value of a header, whose name may be in any case; "" if it is absent.
func (h Header) Field(name string) string { return h.fields[strings.ToLower(name)] }

// ParseHeader parses a status line and headers, without the empty line that ends them. Its errors wrap ErrMalformed.
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
	if !validStatus || (version != protocol && version != protocolOld) {
		return Header{}, malformed("status line")
	}
	return Header{Status: status, Close: version == protocolOld}, nil
}

// addField parses a header line. Two different lengths make the response ambiguous.
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
