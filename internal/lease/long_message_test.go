package lease

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A message that is too long is truncated between two characters. Truncated inside a character, it was invalid UTF-8. JSON encoding replaces
// the invalid bytes by longer ones, so the message exceeded the size limit, and the group rejected the renewal.
func TestLongMessageIsTruncatedBetweenCharacters(t *testing.T) {
	for shift := range 3 {
		client := newTestClient(t)
		actions := client.report(strings.Repeat("x", shift) + strings.Repeat("ร", maxTextBytes))
		messages := clientActions[LogMessage](actions)
		require.Len(t, messages, 1)
		assert.True(t, utf8.ValidString(messages[0].Text))
		assert.LessOrEqual(t, len(messages[0].Text), maxTextBytes)
		assert.Greater(t, len(messages[0].Text), maxTextBytes-utf8.UTFMax)

		raw, err := json.Marshal(Renewal{Incarnation: "x", LastMessage: messages[0].Text})
		require.NoError(t, err)
		var received Renewal
		require.NoError(t, json.Unmarshal(raw, &received))
		assert.True(t, received.valid(), "a message of %d bytes", len(received.LastMessage))
	}
}
