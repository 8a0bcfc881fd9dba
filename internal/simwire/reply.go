package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"bankledge/decision"
)

// Answer is what one instance does in a reply.
type InstanceActions struct {
	Instance int
	Actions  []decision.Action
}

type object map[string]any

// Reply encodes the line that answers a batch.
func EncodeReply(answers []InstanceActions) ([]byte, error) {
	type group struct {
		I   int      `json:"i"`
		Out []object `json:"out"`
	}
	reply := struct {
		Groups []group `json:"groups"`
	}{Groups: []group{}}
	for _, a := range answers {
		if len(a.Actions) == 0 {
			continue
		}
		g := group{I: a.Instance}
		for _, action := range a.Actions {
			o, err := message(action)
			if err != nil {
				return nil, err
			}
			g.Out = append(g.Out, o)
		}
		reply.Groups = append(reply.Groups, g)
	}
	line, err := json.Marshal(reply)
	return append(line, '\n'), err
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func message(action decision.Action) (object, error) {
	switch a := action.(type) {
	case decision.StartAttempt:
		return object{"Attempt": object{"corr": a.Statement, "engine": a.Engine, "tryFor": micros(a.Timeout)}}, nil
	case decision.CancelAttempt:
		return object{"Retract": object{"corr": a.Statement, "seqNo": a.Attempt}}, nil
	case decision.Reject:
		return object{"PushBack": object{"corr": a.Statement, "comeBack": micros(a.RetryAfter)}}, nil
	case decision.Abort:
		return object{"EndFailed": object{"corr": a.Statement}}, nil
	case decision.SetResources:
		return object{"Terms": object{"corr": a.Statement, "allotMb": a.MemoryGrantMB, "rank": a.Priority}}, nil
	case decision.HealthCheck:
		return object{"Ping": object{"engine": a.Engine}}, nil
	case decision.CloseIdleConnections:
		return object{"CloseIdle": object{"engine": a.Engine}}, nil
	case decision.SetTimer:
		return object{"SetTimer": object{"cookie": a.Token, "moment": micros(a.At)}}, nil
	case decision.WatchEndpoints:
		return object{"Tail": object{"active": a.Enabled}}, nil
	case decision.FetchEndpoints:
		return object{"Resolve": object{}}, nil
	case decision.SendToPeers:
		var dest any = int(a.To)
		if a.All {
			dest = "all"
		}
		return object{"Notify": object{"dest": dest, "payload": hex.EncodeToString(a.Data)}}, nil
	case decision.Log:
		return object{"SayLog": object{"what": a.Text}}, nil
	case decision.Crash:
		return object{"Crash": object{"what": a.Text}}, nil
	}
	return nil, fmt.Errorf("action %T has no word on the wire", action)
}
