package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bankledge/decision"
	"bankledge/internal/settings"
)

var outcomeWords = map[string]decision.Outcome{
	"completed":    decision.Completed,
	"errored":      decision.Errored,
	"saturated":    decision.Overloaded,
	"overdue":      decision.TimedOut,
	"refused_conn": decision.ConnectFailed,
	"severed":      decision.ConnectionReset,
	"recalled":     decision.Cancelled,
	"superseded":   decision.NotSent,
}

var listKindWords = map[string]decision.ListKind{
	"Partial":   decision.ListPartial,
	"Complete":  decision.ListComplete,
	"Persisted": decision.ListPersisted,
	"Error":     decision.ListFailed,
}

// eventDecoders has a decoder for each event of the module, by the wire's name for it.
var eventDecoders = map[string]func(*Decoder, *instance, json.RawMessage) (decision.Event, error){
	"PeersKnown":    (*Decoder).endpointList,
	"JobIn":         (*Decoder).statementArrived,
	"HeadReceived":  (*Decoder).responseStarted,
	"Interim":       (*Decoder).attemptProgress,
	"ClosedAttempt": (*Decoder).attemptEnded,
	"Hangup":        (*Decoder).clientCancelled,
	"Timer":         (*Decoder).timerFired,
	"StatusBack":    (*Decoder).healthCheckEnded,
	"Peer":          (*Decoder).peerMessage,
}

// attempt names an attempt on the wire, or a statement alone.
type attempt struct {
	Corr   decision.StatementID  `json:"corr"`
	SeqNo  decision.AttemptID    `json:"seqNo"`
	Engine decision.EngineID     `json:"engine"`
	Took   settings.Microseconds `json:"took"`
}

func (a attempt) check() error {
	if a.Corr == "" {
		return errNoStatement
	}
	return nil
}

// decodeEnding reads how an attempt or a health check ended, and the load report that came with it.
func (in *instance) decodeEnding(word string, telemetry []*float64) (decision.Outcome, *decision.LoadReport, error) {
	outcome, err := settings.LookUpWord("ending", word, outcomeWords)
	if err != nil {
		return 0, nil, err
	}
	report, err := in.loadReport(telemetry)
	return outcome, report, err
}

// loadReport decodes the figures of a report, in the order of the instance's fields; nil stands for a missing one.
func (in *instance) loadReport(figures []*float64) (*decision.LoadReport, error) {
	if figures == nil {
		return nil, nil
	}
	if len(figures) > len(in.reportFields) {
		return nil, fmt.Errorf("a report of %d values where %d fields are named", len(figures), len(in.reportFields))
	}
	report := &decision.LoadReport{}
	for i, figure := range figures {
		if figure == nil {
			continue
		}
		report.Set(in.reportFields[i], *figure)
	}
	return report, nil
}

func (d *Decoder) endpointList(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Scope string `json:"scope"`
		Gen   int64  `json:"gen"`
		Ref   int    `json:"ref"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	kind, err := settings.LookUpWord("scope", m.Scope, listKindWords)
	if err != nil {
		return nil, err
	}
	if kind == decision.ListFailed {
		return decision.EndpointList{Kind: kind, Version: m.Gen}, nil
	}
	endpoints, ok := d.lists[m.Ref]
	if !ok {
		return nil, fmt.Errorf("list %d was never sent", m.Ref)
	}
	return decision.EndpointList{Kind: kind, Version: m.Gen, Endpoints: endpoints}, nil
}

func (d *Decoder) statementArrived(in *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Corr        decision.StatementID   `json:"corr"`
		Kind        string                 `json:"kind"`
		ClientGroup any                    `json:"clientGroup"` // a name, or 0 where there are none
		Table       decision.Key           `json:"table"`
		TimeBudget  *settings.Microseconds `json:"timeBudget"`
		Estimate    settings.Microseconds  `json:"estimate"`
		WantMb      float64                `json:"wantMb"`
		SourceSet   float64                `json:"sourceSet"`
		Resent      bool                   `json:"resent"`
		Update      bool                   `json:"update"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	if m.Corr == "" || m.TimeBudget == nil {
		return nil, errIncompleteArrival
	}
	workload, err := settings.LookUpWord("kind", m.Kind, in.workloads)
	if err != nil {
		return nil, err
	}
	tenant, err := decodeTenant(m.ClientGroup)
	if err != nil {
		return nil, err
	}
	return decision.StatementArrived{
		Statement:         m.Corr,
		Workload:          workload,
		Tenant:            tenant,
		Key:               m.Table,
		TimeBudget:        m.TimeBudget.Duration(),
		EstimatedWork:     m.Estimate.Duration(),
		EstimatedMemoryMB: m.WantMb,
		TableGroup:        decision.TableGroup(m.SourceSet),
		ClientRetry:       m.Resent,
		Writes:            m.Update,
	}, nil
}

// decodeTenant reads a tenant's name; 0 and no value stand for none.
func decodeTenant(value any) (decision.Tenant, error) {
	switch v := value.(type) {
	case nil:
		return "", nil
	case string:
		return decision.Tenant(v), nil
	case float64:
		if v != 0 {
			return "", errTenantNumber
		}
		return "", nil
	}
	return "", errTenantType
}

func (d *Decoder) responseStarted(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m attempt
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.ResponseStarted{
		Statement: m.Corr,
		Attempt:   m.SeqNo,
		Engine:    m.Engine,
		Elapsed:   m.Took.Duration(),
	}, m.check()
}

func (d *Decoder) attemptProgress(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		attempt
		Topic int     `json:"topic"`
		Value float64 `json:"value"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.AttemptProgress{
		Statement: m.Corr,
		Attempt:   m.SeqNo,
		Engine:    m.Engine,
		Kind:      decision.ProgressKind(m.Topic),
		Value:     m.Value,
	}, m.check()
}

func (d *Decoder) attemptEnded(in *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		attempt
		Ending    string     `json:"ending"`
		NoMore    bool       `json:"noMore"`
		Note      int64      `json:"note"`
		Telemetry []*float64 `json:"telemetry"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	outcome, report, err := in.decodeEnding(m.Ending, m.Telemetry)
	if err != nil {
		return nil, err
	}
	return decision.AttemptEnded{
		Statement: m.Corr,
		Attempt:   m.SeqNo,
		Engine:    m.Engine,
		Outcome:   outcome,
		Elapsed:   m.Took.Duration(),
		Finished:  m.NoMore,
		Cost:      m.Note,
		Report:    report,
	}, m.check()
}

func (d *Decoder) clientCancelled(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m attempt
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.ClientCancelled{Statement: m.Corr}, m.check()
}

func (d *Decoder) timerFired(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Cookie string `json:"cookie"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.TimerFired{Token: m.Cookie}, nil
}

func (d *Decoder) healthCheckEnded(in *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Ending    string                `json:"ending"`
		Engine    decision.EngineID     `json:"engine"`
		Took      settings.Microseconds `json:"took"`
		Telemetry []*float64            `json:"telemetry"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	outcome, report, err := in.decodeEnding(m.Ending, m.Telemetry)
	if err != nil {
		return nil, err
	}
	return decision.HealthCheckEnded{
		Engine:  m.Engine,
		Outcome: outcome,
		Elapsed: m.Took.Duration(),
		Report:  report,
	}, nil
}

func (d *Decoder) peerMessage(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		By      int    `json:"by"`
		Payload string `json:"payload"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	data, err := hex.DecodeString(m.Payload)
	if err != nil {
		return nil, fmt.Errorf("payload: %w", err)
	}
	return decision.PeerMessage{From: decision.RouterID(m.By), Data: data}, nil
}
