// Package simwire is the bench's wire: a strict JSON codec and the mapping between the wire's
// words and those of the decision module. It decides nothing.
package simwire

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// Input is one event for one instance: an opening, a stop, or what the module itself takes.
type Input struct {
	Settings *settings.ModuleSettings
	Stop     bool
	Event    decision.Event
}

// Group is what one instance gets in a batch.
type InstanceInputs struct {
	Instance int
	Inputs   []Input
}

// Batch is one line of the wire.
type Batch struct {
	Now       time.Duration
	Instances []InstanceInputs
}

// Decoder reads batches. It keeps what the wire shares between instances: the numbered lists,
// and each instance's names, which are stated at its opening.
type Decoder struct {
	lists map[int][]decision.Endpoint
	names map[int]*names
}

type names struct {
	workloads map[string]decision.WorkloadID
	fields    []decision.LoadReportField
}

// NewDecoder returns a decoder that knows no list and no instance.
func NewDecoder() *Decoder {
	return &Decoder{lists: map[int][]decision.Endpoint{}, names: map[int]*names{}}
}

// maxListNumber is the highest number of a shared list.
const maxListNumber = 15

// strict decodes one value and allows neither unknown fields nor anything after it.
func strict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("text after the value")
	}
	return nil
}

// Batch decodes one line.
func (d *Decoder) DecodeBatch(line []byte) (*Batch, error) {
	var in struct {
		Moment *micro `json:"moment"`
		Groups []struct {
			I     *int                         `json:"i"`
			Input []map[string]json.RawMessage `json:"input"`
		} `json:"groups"`
	}
	if err := strict(line, &in); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if in.Moment == nil || in.Groups == nil {
		return nil, errors.New("batch: moment or groups is missing")
	}
	b := &Batch{Now: in.Moment.span()}
	for _, g := range in.Groups {
		if g.I == nil {
			return nil, errors.New("group: i is missing")
		}
		group := InstanceInputs{Instance: *g.I}
		for _, message := range g.Input {
			if len(message) != 1 {
				return nil, fmt.Errorf("instance %d: a message has %d names, not one", *g.I, len(message))
			}
			for name, raw := range message {
				input, err := d.input(*g.I, name, raw)
				if err != nil {
					return nil, fmt.Errorf("instance %d: %s: %w", *g.I, name, err)
				}
				if input != nil {
					group.Inputs = append(group.Inputs, *input)
				}
			}
		}
		b.Instances = append(b.Instances, group)
	}
	return b, nil
}

var (
	outcomes = map[string]decision.Outcome{"completed": decision.Completed, "errored": decision.Errored,
		"saturated": decision.Overloaded, "overdue": decision.TimedOut, "refused_conn": decision.ConnectFailed,
		"severed": decision.ConnectionReset, "recalled": decision.Cancelled, "superseded": decision.NotSent}
	states = map[string]decision.EngineState{"Ready": decision.Ready, "Terminating": decision.Draining,
		"Gone": decision.Removed}
	listKinds = map[string]decision.ListKind{"Partial": decision.ListPartial,
		"Complete": decision.ListComplete, "Persisted": decision.ListPersisted, "Error": decision.ListFailed}
)

func (d *Decoder) input(instance int, name string, raw json.RawMessage) (*Input, error) {
	switch name {
	case "SnapshotRows":
		return nil, d.list(raw)
	case "OpenInstance":
		var m struct {
			RngSeed json.Number     `json:"rngSeed"`
			Info    json.RawMessage `json:"info"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		seed, err := strconv.ParseUint(m.RngSeed.String(), 10, 64)
		if err != nil {
			signed, serr := strconv.ParseInt(m.RngSeed.String(), 10, 64)
			if serr != nil {
				return nil, fmt.Errorf("rngSeed: %w", err)
			}
			seed = uint64(signed)
		}
		o, err := settings.ParseModuleSettings(seed, m.Info)
		if err != nil {
			return nil, err
		}
		known := &names{workloads: map[string]decision.WorkloadID{}, fields: o.LoadReports.Fields}
		for i, w := range o.Workloads {
			known.workloads[w.Name] = decision.WorkloadID(i)
		}
		d.names[instance] = known
		return &Input{Settings: o}, nil
	}
	known := d.names[instance]
	if known == nil {
		return nil, errors.New("the instance was never opened")
	}
	if name == "Down" {
		delete(d.names, instance)
		return &Input{Stop: true}, strict(raw, &struct{}{})
	}
	event, err := d.event(known, name, raw)
	if err != nil {
		return nil, err
	}
	return &Input{Event: event}, nil
}

func (d *Decoder) list(raw json.RawMessage) error {
	var m struct {
		Ref  *int `json:"ref"`
		Rows []struct {
			Engine    decision.EngineID    `json:"engine"`
			Locality  decision.Zone        `json:"locality"`
			SKU       decision.MachineType `json:"sku"`
			Cluster   decision.Cell        `json:"cluster"`
			Status    string               `json:"status"`
			Share     float64              `json:"share"`
			StartedAt micro                `json:"startedAt"`
		} `json:"rows"`
	}
	if err := strict(raw, &m); err != nil {
		return err
	}
	if m.Ref == nil || *m.Ref < 0 || *m.Ref > maxListNumber {
		return errors.New("ref is missing or out of range")
	}
	entries := make([]decision.Endpoint, 0, len(m.Rows))
	for _, r := range m.Rows {
		state, err := settings.LookUpWord("status", r.Status, states)
		if err != nil {
			return err
		}
		if r.Engine == "" {
			return errors.New("a row names no engine")
		}
		entries = append(entries, decision.Endpoint{Engine: r.Engine, Zone: r.Locality, MachineType: r.SKU,
			Cell: r.Cluster, State: state, Weight: r.Share, StartedAt: r.StartedAt.span()})
	}
	d.lists[*m.Ref] = entries
	return nil
}

func (d *Decoder) event(known *names, name string, raw json.RawMessage) (decision.Event, error) {
	switch name {
	case "PeersKnown":
		var m struct {
			Scope string `json:"scope"`
			Gen   int64  `json:"gen"`
			Ref   int    `json:"ref"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		kind, err := settings.LookUpWord("scope", m.Scope, listKinds)
		if err != nil {
			return nil, err
		}
		if kind == decision.ListFailed {
			return decision.EndpointList{Kind: kind, Version: m.Gen}, nil
		}
		entries, ok := d.lists[m.Ref]
		if !ok {
			return nil, fmt.Errorf("list %d was never sent", m.Ref)
		}
		return decision.EndpointList{Kind: kind, Version: m.Gen, Endpoints: entries}, nil
	case "JobIn":
		return known.arrival(raw)
	case "HeadReceived":
		var m execution
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		return decision.ResponseStarted{Statement: m.Corr, Attempt: m.SeqNo, Engine: m.Engine,
			Elapsed: m.Took.span()}, m.check()
	case "Interim":
		var m struct {
			execution
			Topic int     `json:"topic"`
			Value float64 `json:"value"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		return decision.AttemptProgress{Statement: m.Corr, Attempt: m.SeqNo, Engine: m.Engine,
			Kind: decision.ProgressKind(m.Topic), Value: m.Value}, m.check()
	case "ClosedAttempt":
		var m struct {
			execution
			Ending    string     `json:"ending"`
			NoMore    bool       `json:"noMore"`
			Note      int64      `json:"note"`
			Telemetry []*float64 `json:"telemetry"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		outcome, err := settings.LookUpWord("ending", m.Ending, outcomes)
		if err != nil {
			return nil, err
		}
		report, err := known.report(m.Telemetry)
		if err != nil {
			return nil, err
		}
		return decision.AttemptEnded{Statement: m.Corr, Attempt: m.SeqNo, Engine: m.Engine,
			Outcome: outcome, Elapsed: m.Took.span(), Finished: m.NoMore, Cost: m.Note, Report: report}, m.check()
	case "Hangup":
		var m execution
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		return decision.ClientCancelled{Statement: m.Corr}, m.check()
	case "Timer":
		var m struct {
			Cookie string `json:"cookie"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		return decision.TimerFired{Token: m.Cookie}, nil
	case "StatusBack":
		var m struct {
			Ending    string            `json:"ending"`
			Engine    decision.EngineID `json:"engine"`
			Took      micro             `json:"took"`
			Telemetry []*float64        `json:"telemetry"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		outcome, err := settings.LookUpWord("ending", m.Ending, outcomes)
		if err != nil {
			return nil, err
		}
		report, err := known.report(m.Telemetry)
		if err != nil {
			return nil, err
		}
		return decision.HealthCheckEnded{Engine: m.Engine, Outcome: outcome, Elapsed: m.Took.span(),
			Report: report}, nil
	case "Peer":
		var m struct {
			By      int    `json:"by"`
			Payload string `json:"payload"`
		}
		if err := strict(raw, &m); err != nil {
			return nil, err
		}
		data, err := hex.DecodeString(m.Payload)
		if err != nil {
			return nil, fmt.Errorf("payload: %w", err)
		}
		return decision.PeerMessage{From: decision.RouterID(m.By), Data: data}, nil
	}
	return nil, errors.New("unknown event")
}

// execution is what the wire says to name an execution.
type execution struct {
	Corr   decision.StatementID `json:"corr"`
	SeqNo  decision.AttemptID   `json:"seqNo"`
	Engine decision.EngineID    `json:"engine"`
	Took   micro                `json:"took"`
}

func (e execution) check() error {
	if e.Corr == "" {
		return errors.New("corr is missing")
	}
	return nil
}

func (n *names) arrival(raw json.RawMessage) (decision.Event, error) {
	var m struct {
		Corr        decision.StatementID `json:"corr"`
		Kind        string               `json:"kind"`
		ClientGroup any                  `json:"clientGroup"` // a name, or 0 where there are none
		Table       decision.Key         `json:"table"`
		TimeBudget  *micro               `json:"timeBudget"`
		Estimate    micro                `json:"estimate"`
		WantMb      float64              `json:"wantMb"`
		SourceSet   float64              `json:"sourceSet"`
		Resent      bool                 `json:"resent"`
		Update      bool                 `json:"update"`
	}
	if err := strict(raw, &m); err != nil {
		return nil, err
	}
	if m.Corr == "" || m.TimeBudget == nil {
		return nil, errors.New("corr or timeBudget is missing")
	}
	wlm, err := settings.LookUpWord("kind", m.Kind, n.workloads)
	if err != nil {
		return nil, err
	}
	var group decision.Tenant
	switch g := m.ClientGroup.(type) {
	case nil:
	case string:
		group = decision.Tenant(g)
	case float64:
		if g != 0 {
			return nil, errors.New("clientGroup is a number other than 0")
		}
	default:
		return nil, errors.New("clientGroup is no name")
	}
	return decision.StatementArrived{Statement: m.Corr, Workload: wlm, Tenant: group, Key: m.Table,
		TimeBudget: m.TimeBudget.span(), EstimatedWork: m.Estimate.span(), EstimatedMemoryMB: m.WantMb,
		TableGroup: decision.TableGroup(m.SourceSet), ClientRetry: m.Resent, Writes: m.Update}, nil
}

func (n *names) report(row []*float64) (*decision.LoadReport, error) {
	if row == nil {
		return nil, nil
	}
	if len(row) > len(n.fields) {
		return nil, fmt.Errorf("a report of %d values where %d fields are named", len(row), len(n.fields))
	}
	r := &decision.LoadReport{}
	for i, v := range row {
		if v != nil {
			r.Value[n.fields[i]], r.Known[n.fields[i]] = *v, true
		}
	}
	return r, nil
}

// micro is a time on the wire: whole microseconds.
type micro int64

func (m micro) span() time.Duration { return time.Duration(m) * time.Microsecond }
