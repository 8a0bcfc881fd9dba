package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the recordings in testdata instead of comparing with them")

// The replies to a recorded session are compared byte for byte. The session has three instances with different settings and 311 batches
// with every kind of event and outcome.
func TestSessionRepliesMatchTheRecording(t *testing.T) {
	session, err := os.Open("testdata/session.jsonl")
	require.NoError(t, err)
	defer session.Close()
	var out bytes.Buffer
	require.NoError(t, serve(session, &out))
	compareWithRecording(t, "testdata/session.recorded", out.String())
}

// invalidMessages are sent to an open instance.
var invalidMessages = []string{
	`{"SnapshotRows":{"rows":[]}}`, `{"SnapshotRows":{"ref":16,"rows":[]}}`, `{"SnapshotRows":{"ref":-1,"rows":[]}}`,
	`{"SnapshotRows":{"ref":1,"rows":[{"engine":"e","status":"odd"}]}}`, `{"SnapshotRows":{"ref":1,"rows":[{"status":"Ready"}]}}`,
	`{"SnapshotRows":{"ref":1,"rows":[{"engine":"e","status":"Ready","odd":1}]}}`, `{"SnapshotRows":5}`,
	`{"OpenInstance":{"rngSeed":1.5,"info":{}}}`, `{"OpenInstance":{"info":{}}}`, `{"OpenInstance":{"rngSeed":1,"info":[]}}`,
	`{"OpenInstance":{"rngSeed":1,"info":{"discovery":"odd"}}}`, `{"OpenInstance":{"rngSeed":1,"info":{},"odd":1}}`,
	`{"PeersKnown":{"scope":"odd","gen":1,"ref":0}}`, `{"PeersKnown":{"scope":"Complete","gen":1,"ref":9}}`,
	`{"PeersKnown":{"scope":"Error","gen":1,"ref":9}}`, `{"PeersKnown":{"scope":"Complete","gen":"1"}}`,
	`{"JobIn":{"kind":"lookup","timeBudget":1}}`, `{"JobIn":{"corr":"c","kind":"lookup"}}`, `{"JobIn":{"corr":"c","kind":"odd","timeBudget":1}}`,
	`{"JobIn":{"corr":"c","kind":"lookup","timeBudget":1,"clientGroup":7}}`, `{"JobIn":{"corr":"c","kind":"lookup","timeBudget":1,"clientGroup":[]}}`,
	`{"JobIn":{"corr":"c","kind":"lookup","timeBudget":1.5}}`, `{"JobIn":{"corr":"c","kind":"lookup","timeBudget":1,"odd":1}}`,
	`{"HeadReceived":{"seqNo":0,"engine":"e","took":1}}`, `{"HeadReceived":{"corr":"c","seqNo":"0"}}`,
	`{"Interim":{"seqNo":0,"topic":1,"value":1}}`, `{"Interim":{"corr":"c","topic":"1"}}`,
	`{"ClosedAttempt":{"seqNo":0,"ending":"completed"}}`, `{"ClosedAttempt":{"corr":"c","ending":"odd"}}`, `{"ClosedAttempt":{"corr":"c"}}`,
	`{"ClosedAttempt":{"corr":"c","ending":"completed","telemetry":[1,2]}}`, `{"ClosedAttempt":{"corr":"c","ending":"completed","telemetry":{}}}`,
	`{"Hangup":{}}`, `{"Hangup":{"corr":5}}`, `{"Hangup":{"corr":"c","odd":1}}`, `{"Hangup":{"corr":"c"},"Timer":{"cookie":"c"}}`,
	`{"Timer":{"cookie":5}}`, `{"Timer":{"odd":5}}`, `{"StatusBack":{"ending":"odd"}}`, `{"StatusBack":{"ending":"completed","telemetry":[1,2]}}`,
	`{"StatusBack":{"odd":1}}`, `{"Peer":{"by":1,"payload":"0g"}}`, `{"Peer":{"by":1,"payload":"000"}}`, `{"Peer":{"by":"1"}}`,
	`{"Down":{"odd":1}}`, `{"Down":5}`, `{"Odd":{}}`, `{}`, `5`,
}

// goTypes matches the names of Go types that encoding/json writes into its errors. They are replaced, and the rest of a message is compared.
var goTypes = regexp.MustCompile(`(Go struct field )\w*|( of type ).+`)

func TestErrorsOfInvalidLinesMatchTheRecording(t *testing.T) {
	var lines []string
	add := func(line, input string) {
		err := serve(strings.NewReader(input), new(bytes.Buffer))
		text := "accepted"
		if err != nil {
			text = goTypes.ReplaceAllString(err.Error(), "${1}${2}T")
		}
		raw, err := json.Marshal([]string{line, text})
		require.NoError(t, err)
		lines = append(lines, string(raw))
	}
	for _, message := range invalidMessages {
		add(message, batch(rows, open, message)+"\n")
	}
	for _, message := range []string{known, job, `{"Down":{}}`, `{"Odd":{}}`, rows} {
		add(message+" before it was opened", batch(message))
		add(message+" after its end", batch(rows, open, `{"Down":{}}`, message))
	}
	for _, line := range []string{"\n", " \n", "odd", `{"moment":1}`, `{"groups":[]}`, `{"moment":1,"groups":null}`, `{"moment":1,"groups":[{}]}`,
		`{"moment":1,"groups":[{"i":1}]}`, `{"moment":1.5,"groups":[]}`, `{"moment":1,"groups":[],"odd":1}`, `{"moment":1,"groups":[]} {}`,
		`{"moment":1,"groups":[{"i":"1"}]}`} {
		add(line, line)
	}
	compareWithRecording(t, "testdata/bad_lines.recorded", strings.Join(lines, "\n")+"\n")
}

// compareWithRecording compares a text line by line with a recording, which the update flag first replaces with the text.
func compareWithRecording(t *testing.T, path, text string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	want, got := strings.Split(string(recorded), "\n"), strings.Split(text, "\n")
	require.Equal(t, len(want), len(got), "lines")
	for i := range want {
		if !assert.Equal(t, want[i], got[i], "%s: line %d", path, i+1) {
			return
		}
	}
}
