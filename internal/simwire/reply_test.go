package simwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Each action is encoded to the expected bytes.
func TestReplyWritesEachAction(t *testing.T) {
	for _, c := range []struct {
		action decision.Action
		wire   string
	}{
		{decision.StartAttempt{Statement: "s<1>", Engine: "e", Timeout: 1500 * time.Microsecond, StartBefore: time.Second},
			`{"Attempt":{"corr":"s\u003c1\u003e","engine":"e","tryFor":1500}}`},
		{decision.StartAttempt{Statement: "s", Engine: "e"}, `{"Attempt":{"corr":"s","engine":"e","tryFor":0}}`},
		{decision.CancelAttempt{Statement: "s", Attempt: 2, Reason: decision.ReasonSlow}, `{"Retract":{"corr":"s","seqNo":2}}`},
		{decision.Reject{Statement: "s", RetryAfter: time.Second, Reason: decision.ReasonDeadlineUnreachable}, `{"PushBack":{"comeBack":1000000,"corr":"s"}}`},
		{decision.Reject{Statement: "s"}, `{"PushBack":{"comeBack":0,"corr":"s"}}`},
		{decision.Abort{Statement: "s", Reason: decision.ReasonDeadline}, `{"EndFailed":{"corr":"s"}}`},
		{decision.SetResources{Statement: "s", MemoryGrantMB: 12, Priority: 3}, `{"Terms":{"allotMb":12,"corr":"s","rank":3}}`},
		{decision.SetResources{Statement: "s"}, `{"Terms":{"allotMb":0,"corr":"s","rank":0}}`},
		{decision.HealthCheck{Engine: "e"}, `{"Ping":{"engine":"e"}}`},
		{decision.CloseIdleConnections{Engine: "e"}, `{"CloseIdle":{"engine":"e"}}`},
		{decision.SetTimer{Token: "due", At: 1999 * time.Nanosecond}, `{"SetTimer":{"cookie":"due","moment":1}}`},
		{decision.WatchEndpoints{Enabled: true}, `{"Tail":{"active":true}}`},
		{decision.WatchEndpoints{}, `{"Tail":{"active":false}}`},
		{decision.FetchEndpoints{}, `{"Resolve":{}}`},
		{decision.SendToPeers{All: true, To: 4, Data: []byte{0, 255}}, `{"Notify":{"dest":"all","payload":"00ff"}}`},
		{decision.SendToPeers{To: 4}, `{"Notify":{"dest":4,"payload":""}}`},
		{decision.Log{Text: "a \"b\"\n"}, `{"SayLog":{"what":"a \"b\"\n"}}`},
		{decision.Crash{Text: "é\xff"}, `{"Crash":{"what":"é\ufffd"}}`},
	} {
		line, err := EncodeReply([]InstanceActions{{Instance: 3, Actions: []decision.Action{c.action, c.action}}, {Instance: 4}})
		require.NoError(t, err)
		assert.Equal(t, `{"groups":[{"i":3,"out":[`+c.wire+","+c.wire+"]}]}\n", string(line))
	}
	line, err := EncodeReply(nil)
	require.NoError(t, err)
	assert.Equal(t, `{"groups":[]}`+"\n", string(line))
	_, err = EncodeReply([]InstanceActions{{Actions: []decision.Action{nil}}})
	assert.EqualError(t, err, "action type <nil> has no name on the wire")
}
