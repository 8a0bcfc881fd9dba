package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bankledge/decision"
	"bankledge/internal/settings"
)

var outcomesByName = map[string]decision.Outcome{
	"completed":    decision.Completed,
	"errored":      decision.Errored,
	"saturated":    decision.Overloaded,
	"overdue":      decision.TimedOut,
	"refused_conn": decision.ConnectFailed,
	"severed":      decision.ConnectionReset,
	"recalled":     decision.Cancelled,
	"superseded":   decision.NotSent,
}

var listKindsByName = map[string]decision.ListKind{
	"Partial":   decision.ListPartial,
	"Complete":  decision.ListComplete,
	"Persisted": decision.ListPersisted,
	"Error":     decision.ListFailed,
}

// eventDecoders holds the decoder of each event of the decision module by the event's name on the wire.
var eventDecoders = map[string]func(*Decoder, *instance, json.RawMessage) (decision.Event, error){
	"PeersKnown":    (*Decoder).decodeEndpointList,
	"JobIn":         (*Decoder).decodeStatementArrived,
	"HeadReceived":  (*Decoder).decodeResponseStarted,
	"Interim":       (*Decoder).decodeAttemptProgress,
	"ClosedAttempt": (*Decoder).decodeAttemptEnded,
	"Hangup":        (*Decoder).decodeClientCancelled,
	"Timer":         (*Decoder).decodeTimerFired,
	"StatusBack":    (*Decoder).decodeHealthCheckEnded,
	"Peer":          (*Decoder).decodePeerMessage,
}

// attempt holds the fields by which a message on the wire identifies an attempt, or a statement alone.
type attempt struct {
	Corr   decision.StatementID  `json:"corr"`
	SeqNo  decision.AttemptID    `json:"seqNo"`
	Engine decision.EngineID     `json:"engine"`
	Took   settings.Microseconds `json:"took"`
}

func (a attempt) validate() error {
	if a.Corr == "" {
		return errMissingStatement
	}
	return nil
}

// decodeOutcome decodes the outcome of an attempt or a health check, and the load report in the same message.
func (in *instance) decodeOutcome(ending string, telemetry []*float64) (decision.Outcome, *decision.LoadReport, error) {
	outcome, err := settings.ParseEnum("ending", ending, outcomesByName)
	if err != nil {
		return 0, nil, err
	}
	report, err := in.decodeLoadReport(telemetry)
	return outcome, report, err
}

// decodeLoadReport decodes the values of a load report, which are in the order of the instance's report fields. A nil value is missing.
func (in *instance) decodeLoadReport(values []*float64) (*decision.LoadReport, error) {
	if values == nil {
		return nil, nil
	}
	if len(values) > len(in.reportFields) {
		return nil, fmt.Errorf("a report of %d values where %d fields are named", len(values), len(in.reportFields))
	}
	report := &decision.LoadReport{}
	for i, value := range values {
		if value == nil {
			continue
		}
		report.Set(in.reportFields[i], *value)
	}
	return report, nil
}

func (d *Decoder) decodeEndpointList(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Scope string `json:"scope"`
		Gen   int64  `json:"gen"`
		Ref   int    `json:"ref"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	kind, err := settings.ParseEnum("scope", m.Scope, listKindsByName)
	if err != nil {
		return nil, err
	}
	if kind == decision.ListFailed {
		return decision.EndpointList{Kind: kind, Version: m.Gen}, nil
	}
	endpoints, ok := d.endpointLists[m.Ref]
	if !ok {
		return nil, fmt.Errorf("list %d was never sent", m.Ref)
	}
	return decision.EndpointList{Kind: kind, Version: m.Gen, Endpoints: endpoints}, nil
}

func (d *Decoder) decodeStatementArrived(in *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Corr        decision.StatementID   `json:"corr"`
		Kind        string                 `json:"kind"`
		ClientGroup any                    `json:"clientGroup"` // a name, or 0 if there are no client groups
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
	workload, err := settings.ParseEnum("kind", m.Kind, in.workloads)
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

// decodeTenant decodes a tenant's name. 0, null and an absent value mean that there is no tenant.
func decodeTenant(value any) (decision.Tenant, error) {
	switch v := value.(type) {
	case nil:
		return "", nil
	case string:
		return decision.Tenant(v), nil
	case float64:
		if v != 0 {
			return "", errInvalidTenantNumber
		}
		return "", nil
	}
	return "", errInvalidTenantType
}

func (d *Decoder) decodeResponseStarted(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m attempt
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.ResponseStarted{
		Statement: m.Corr,
		Attempt:   m.SeqNo,
		Engine:    m.Engine,
		Elapsed:   m.Took.Duration(),
	}, m.validate()
}

func (d *Decoder) decodeAttemptProgress(_ *instance, body json.RawMessage) (decision.Event, error) {
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
	}, m.validate()
}

func (d *Decoder) decodeAttemptEnded(in *instance, body json.RawMessage) (decision.Event, error) {
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
	outcome, report, err := in.decodeOutcome(m.Ending, m.Telemetry)
	if err != nil {
		return nil, err
	}
	return decision.AttemptEnded{
		Statement:         m.Corr,
		Attempt:           m.SeqNo,
		Engine:            m.Engine,
		Outcome:           outcome,
		Elapsed:           m.Took.Duration(),
		StatementFinished: m.NoMore,
		Cost:              m.Note,
		Report:            report,
	}, m.validate()
}

func (d *Decoder) decodeClientCancelled(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m attempt
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.ClientCancelled{Statement: m.Corr}, m.validate()
}

func (d *Decoder) decodeTimerFired(_ *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Cookie string `json:"cookie"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	return decision.TimerFired{Token: m.Cookie}, nil
}

func (d *Decoder) decodeHealthCheckEnded(in *instance, body json.RawMessage) (decision.Event, error) {
	var m struct {
		Ending    string                `json:"ending"`
		Engine    decision.EngineID     `json:"engine"`
		Took      settings.Microseconds `json:"took"`
		Telemetry []*float64            `json:"telemetry"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	outcome, report, err := in.decodeOutcome(m.Ending, m.Telemetry)
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

func (d *Decoder) decodePeerMessage(_ *instance, body json.RawMessage) (decision.Event, error) {
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
