package controlserver

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
)

// A follower receives the activated version and its successor, unless it knows them, and then each activation once.
func TestStreamCursor(t *testing.T) {
	register := func(newest, activated uint64) *configregister.Register {
		register := &configregister.Register{Lineage: "l", Activated: activated}
		for number := uint64(1); number <= newest; number++ {
			register.Versions = append(register.Versions, &configversion.Version{Number: number})
		}
		return register
	}
	event := func(number, activated uint64) string {
		text := formatEvent(0, versionEvent(register(number, activated), nil))
		if number > 0 {
			text = formatEvent(number, versionEvent(register(number, activated), &configversion.Version{Number: number}))
		}
		return text
	}
	for _, c := range []struct {
		name   string
		cursor streamCursor
		newest uint64
		active uint64
		want   string
	}{
		{"no version", streamCursor{}, 0, 0, ""},
		{"first version", streamCursor{}, 1, 0, event(1, 0)},
		{"activation", streamCursor{known: 1}, 1, 1, event(0, 1)},
		{"already known", streamCursor{known: 1, activated: 1}, 1, 1, ""},
		{"older versions omitted", streamCursor{}, 5, 4, event(4, 4) + event(5, 4)},
		{"follower that knows the previous version", streamCursor{known: 4, activated: 4}, 5, 4, event(5, 4)},
		{"version and activation at once", streamCursor{known: 4, activated: 3}, 5, 5, event(5, 5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, c.cursor.advance(register(c.newest, c.active)))
			assert.Empty(t, c.cursor.advance(register(c.newest, c.active)), "each event is sent once")
		})
	}
}

func TestFormatEvent(t *testing.T) {
	register := &configregister.Register{Lineage: "l", Activated: 3}
	assert.Equal(t, "data: {\"lineage\":\"l\",\"settled\":3}\n\n", formatEvent(0, versionEvent(register, nil)))
	assert.Regexp(t, `\Aid: 4\ndata: \{"lineage":"l","settled":3,"version":\{"number":4,.*\}\}\n\n\z`, formatEvent(4, versionEvent(register, &configversion.Version{Number: 4})))
}
