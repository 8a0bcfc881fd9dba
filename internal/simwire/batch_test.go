package simwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

const opening = `{"OpenInstance":{"rngSeed":-1,"info":{"classes":[{"name":"browse","idempotency":"idempotent"},` +
	`{"name":"book","idempotency":"at_most_once"}],"feedback":{"via":"inline","fields":["depth","concurrent"]}}}}`

const snapshot = `{"SnapshotRows":{"ref":2,"rows":[{"engine":"e","locality":"north","sku":"large","cluster":7,` +
	`"status":"Terminating","share":1.5,"startedAt":3}]}}`

// Each event contains all values of its message.
func TestDecodeBatchReadsEachEvent(t *testing.T) {
	const elapsed = 5 * time.Microsecond
	report := &decision.LoadReport{}
	report.Set(decision.FieldInFlight, 4)
	endpoint := decision.Endpoint{Engine: "e", Zone: "north", MachineType: "large", Cell: 7, State: decision.Draining,
		Weight: 1.5, StartedAt: 3 * time.Microsecond}
	for name, c := range map[string]struct {
		wire  string
		event decision.Event
	}{
		"endpoint list": {`{"PeersKnown":{"scope":"Partial","gen":9,"ref":2}}`,
			decision.EndpointList{Kind: decision.ListPartial, Version: 9, Endpoints: []decision.Endpoint{endpoint}}},
		"no endpoint list": {`{"PeersKnown":{"scope":"Error","gen":9}}`, decision.EndpointList{Kind: decision.ListFailed, Version: 9}},
		"statement arrived": {`{"JobIn":{"corr":"s","kind":"book","clientGroup":"red","table":"k","timeBudget":8,"estimate":5,` +
			`"wantMb":12.5,"sourceSet":3,"resent":true,"update":true}}`,
			decision.StatementArrived{Statement: "s", Workload: 1, Tenant: "red", Key: "k", TimeBudget: 8 * time.Microsecond,
				EstimatedWork: elapsed, EstimatedMemoryMB: 12.5, TableGroup: 3, ClientRetry: true, Writes: true}},
		"statement without a tenant": {`{"JobIn":{"corr":"s","kind":"browse","clientGroup":0,"timeBudget":8}}`,
			decision.StatementArrived{Statement: "s", TimeBudget: 8 * time.Microsecond}},
		"response started": {`{"HeadReceived":{"corr":"s","seqNo":2,"engine":"e","took":5}}`,
			decision.ResponseStarted{Statement: "s", Attempt: 2, Engine: "e", Elapsed: elapsed}},
		"attempt progress": {`{"Interim":{"corr":"s","seqNo":2,"engine":"e","took":5,"topic":2,"value":0.5}}`,
			decision.AttemptProgress{Statement: "s", Attempt: 2, Engine: "e", Kind: decision.ProgressSpilling, Value: 0.5}},
		"attempt ended": {`{"ClosedAttempt":{"corr":"s","seqNo":2,"engine":"e","took":5,"ending":"overdue","noMore":true,"note":6,` +
			`"telemetry":[null,4]}}`,
			decision.AttemptEnded{Statement: "s", Attempt: 2, Engine: "e", Outcome: decision.TimedOut, Elapsed: elapsed,
				StatementFinished: true, Cost: 6, Report: report}},
		"client cancelled": {`{"Hangup":{"corr":"s"}}`, decision.ClientCancelled{Statement: "s"}},
		"timer fired":      {`{"Timer":{"cookie":"t"}}`, decision.TimerFired{Token: "t"}},
		"health check ended": {`{"StatusBack":{"ending":"refused_conn","engine":"e","took":5,"telemetry":[null,4]}}`,
			decision.HealthCheckEnded{Engine: "e", Outcome: decision.ConnectFailed, Elapsed: elapsed, Report: report}},
		"peer message": {`{"Peer":{"by":3,"payload":"0aff"}}`, decision.PeerMessage{From: 3, Data: []byte{10, 255}}},
	} {
		t.Run(name, func(t *testing.T) {
			line := `{"moment":1000,"groups":[{"i":4,"input":[` + opening + "," + snapshot + "," + c.wire + `,{"Down":{}}]}]}`
			batch, err := NewDecoder().DecodeBatch([]byte(line))
			require.NoError(t, err)
			assert.Equal(t, time.Millisecond, batch.Now)
			require.Len(t, batch.Instances, 1)
			assert.Equal(t, 4, batch.Instances[0].Instance)
			inputs := batch.Instances[0].Inputs
			require.Len(t, inputs, 3, "an endpoint list is no input")
			assert.Equal(t, ^uint64(0), inputs[0].Settings.Identity.Seed)
			assert.Equal(t, Input{Event: c.event}, inputs[1])
			assert.Equal(t, Input{Stop: true}, inputs[2])
		})
	}
}
