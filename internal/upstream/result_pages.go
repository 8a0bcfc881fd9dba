package upstream

import (
	"net/http"
	"strconv"
)

const (
	maxResultBytes = 48_000 // the protocol's limit for a complete result
	maxPages       = 1 << 12
)

// fetchRemainingPages fetches the pages after the first one and returns all rows, unchanged and in order.
func (a *Attempt) fetchRemainingPages(result []byte, pageCount int) ([]byte, error) {
	for page := 1; page < pageCount && len(result) <= maxResultBytes; page++ {
		received, err := a.fetchPage(page)
		if err != nil {
			return nil, err
		}
		if received.Status != http.StatusOK { // the engine has dropped the result
			return nil, errResultUnavailable
		}
		result = append(result, received.body...)
	}
	if len(result) > maxResultBytes {
		return nil, errResultUnavailable
	}
	return result, nil
}

func (a *Attempt) fetchPage(page int) (response, error) {
	number := strconv.Itoa(page)
	return a.fetch("/"+number, pageTimeout, func(received response) bool {
		if received.Status == http.StatusInternalServerError {
			return true
		}
		return received.Status == http.StatusOK && received.Field(headerPageNumber) == number && endsWithCompleteRow(received.body)
	})
}

// endsWithCompleteRow reports whether a page ends at the end of a row. An empty page does.
func endsWithCompleteRow(page []byte) bool { return len(page) == 0 || page[len(page)-1] == '\n' }
