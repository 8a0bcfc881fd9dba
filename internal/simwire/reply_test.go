package simwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Each action's bytes on the wire.
func TestReplyWritesEachAction(t *testing.T) {
	for _, c := range []struct {
		action decision.Action
		wire   string
	}{
		{decision.Execute{Statement: "s<1>", Engine: "e", Timeout: 1500 * time.Microsecond, Before: time.Second},
			`{"Attempt":{"corr":"s\u003c1\u003e","engine":"e","tryFor":1500}}`},
		{decision.Execute{Statement: "s", Engine: "e"}, `{"Attempt":{"corr":"s","engine":"e","tryFor":0}}`},
		{decision.Cancel{Statement: "s", Execution: 2, Why: decision.ReasonSlow}, `{"Retract":{"corr":"s","seqNo":2}}`},
		{decision.Reject{Statement: "s", RetryIn: time.Second, Why: decision.ReasonLate}, `{"PushBack":{"comeBack":1000000,"corr":"s"}}`},
		{decision.Reject{Statement: "s"}, `{"PushBack":{"comeBack":0,"corr":"s"}}`},
		{decision.Abort{Statement: "s", Why: decision.ReasonTimeUp}, `{"EndFailed":{"corr":"s"}}`},
		{decision.SetTerms{Statement: "s", GrantMB: 12, Priority: 3}, `{"Terms":{"allotMb":12,"corr":"s","rank":3}}`},
		{decision.SetTerms{Statement: "s"}, `{"Terms":{"allotMb":0,"corr":"s","rank":0}}`},
		{decision.Probe{Engine: "e"}, `{"Ping":{"engine":"e"}}`},
		{decision.CloseIdle{Engine: "e"}, `{"CloseIdle":{"engine":"e"}}`},
		{decision.SetTimer{Token: "due", At: 1999 * time.Nanosecond}, `{"SetTimer":{"cookie":"due","moment":1}}`},
		{decision.FollowList{On: true}, `{"Tail":{"active":true}}`},
		{decision.FollowList{}, `{"Tail":{"active":false}}`},
		{decision.FetchList{}, `{"Resolve":{}}`},
		{decision.TellPeers{All: true, To: 4, Data: []byte{0, 255}}, `{"Notify":{"dest":"all","payload":"00ff"}}`},
		{decision.TellPeers{To: 4}, `{"Notify":{"dest":4,"payload":""}}`},
		{decision.Log{Text: "a \"b\"\n"}, `{"SayLog":{"what":"a \"b\"\n"}}`},
		{decision.Crash{Text: "é\xff"}, `{"Crash":{"what":"é\ufffd"}}`},
	} {
		line, err := Reply([]Answer{{Instance: 3, Actions: []decision.Action{c.action, c.action}}, {Instance: 4}})
		require.NoError(t, err)
		assert.Equal(t, `{"groups":[{"i":3,"out":[`+c.wire+","+c.wire+"]}]}\n", string(line))
	}
	line, err := Reply(nil)
	require.NoError(t, err)
	assert.Equal(t, `{"groups":[]}`+"\n", string(line))
	_, err = Reply([]Answer{{Actions: []decision.Action{nil}}})
	assert.EqualError(t, err, "action <nil> has no word on the wire")
}
