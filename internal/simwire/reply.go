package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bankledge/decision"
)

// InstanceActions holds the actions that one instance returned for its inputs of a batch.
type InstanceActions struct {
	Instance int
	Actions  []decision.Action
}

// reply is the line that is sent in reply to a batch.
type reply struct {
	Groups []replyGroup `json:"groups"`
}

type replyGroup struct {
	I   int         `json:"i"`
	Out []outAction `json:"out"`
}

// outAction is one action on the wire, under its name there. Exactly one field is set. The fields of each action are in
// alphabetical order of their keys.
type outAction struct {
	Attempt   *outAttempt   `json:"Attempt,omitempty"`
	Retract   *outRetract   `json:"Retract,omitempty"`
	PushBack  *outPushBack  `json:"PushBack,omitempty"`
	EndFailed *outEndFailed `json:"EndFailed,omitempty"`
	Terms     *outTerms     `json:"Terms,omitempty"`
	Ping      *outEngine    `json:"Ping,omitempty"`
	CloseIdle *outEngine    `json:"CloseIdle,omitempty"`
	SetTimer  *outTimer     `json:"SetTimer,omitempty"`
	Tail      *outTail      `json:"Tail,omitempty"`
	Resolve   *struct{}     `json:"Resolve,omitempty"`
	Notify    *outNotify    `json:"Notify,omitempty"`
	SayLog    *outText      `json:"SayLog,omitempty"`
	Crash     *outText      `json:"Crash,omitempty"`
}

type (
	outAttempt struct {
		Corr   decision.StatementID `json:"corr"`
		Engine decision.EngineID    `json:"engine"`
		TryFor int64                `json:"tryFor"` // microseconds
	}
	outRetract struct {
		Corr  decision.StatementID `json:"corr"`
		SeqNo decision.AttemptID   `json:"seqNo"`
	}
	outPushBack struct {
		ComeBack int64                `json:"comeBack"` // microseconds
		Corr     decision.StatementID `json:"corr"`
	}
	outEndFailed struct {
		Corr decision.StatementID `json:"corr"`
	}
	outTerms struct {
		AllotMb int64                `json:"allotMb"`
		Corr    decision.StatementID `json:"corr"`
		Rank    int                  `json:"rank"`
	}
	outEngine struct {
		Engine decision.EngineID `json:"engine"`
	}
	outTimer struct {
		Cookie string `json:"cookie"`
		Moment int64  `json:"moment"` // microseconds
	}
	outTail struct {
		Active bool `json:"active"`
	}
	outNotify struct {
		Dest    any    `json:"dest"` // the number of a router, or allPeers
		Payload string `json:"payload"`
	}
	outText struct {
		What string `json:"what"`
	}
)

// allPeers as the destination of a message means all other routers.
const allPeers = "all"

// EncodeReply encodes the reply to a batch as one line. Instances without actions are omitted.
func EncodeReply(results []InstanceActions) ([]byte, error) {
	out := reply{Groups: []replyGroup{}}
	for _, result := range results {
		if len(result.Actions) == 0 {
			continue
		}
		group := replyGroup{I: result.Instance}
		for _, action := range result.Actions {
			encoded, err := encodeAction(action)
			if err != nil {
				return nil, err
			}
			group.Out = append(group.Out, encoded)
		}
		out.Groups = append(out.Groups, group)
	}
	line, err := json.Marshal(out)
	return append(line, '\n'), err
}

func encodeAction(action decision.Action) (outAction, error) {
	switch a := action.(type) {
	case decision.StartAttempt:
		return outAction{Attempt: &outAttempt{Corr: a.Statement, Engine: a.Engine, TryFor: a.Timeout.Microseconds()}}, nil
	case decision.CancelAttempt:
		return outAction{Retract: &outRetract{Corr: a.Statement, SeqNo: a.Attempt}}, nil
	case decision.Reject:
		return outAction{PushBack: &outPushBack{Corr: a.Statement, ComeBack: a.RetryAfter.Microseconds()}}, nil
	case decision.Abort:
		return outAction{EndFailed: &outEndFailed{Corr: a.Statement}}, nil
	case decision.SetResources:
		return outAction{Terms: &outTerms{Corr: a.Statement, AllotMb: a.MemoryGrantMB, Rank: a.Priority}}, nil
	case decision.HealthCheck:
		return outAction{Ping: &outEngine{Engine: a.Engine}}, nil
	case decision.CloseIdleConnections:
		return outAction{CloseIdle: &outEngine{Engine: a.Engine}}, nil
	case decision.SetTimer:
		return outAction{SetTimer: &outTimer{Cookie: a.Token, Moment: a.At.Microseconds()}}, nil
	case decision.WatchEndpoints:
		return outAction{Tail: &outTail{Active: a.Enabled}}, nil
	case decision.FetchEndpoints:
		return outAction{Resolve: &struct{}{}}, nil
	case decision.SendToPeers:
		return outAction{Notify: encodePeerMessage(a)}, nil
	case decision.Log:
		return outAction{SayLog: &outText{What: a.Text}}, nil
	case decision.Crash:
		return outAction{Crash: &outText{What: a.Text}}, nil
	}
	return outAction{}, fmt.Errorf("action type %T has no name on the wire", action)
}

func encodePeerMessage(a decision.SendToPeers) *outNotify {
	message := &outNotify{Dest: int(a.To), Payload: hex.EncodeToString(a.Data)}
	if a.All {
		message.Dest = allPeers
	}
	return message
}
