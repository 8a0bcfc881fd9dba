package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// Batch is one line of input: the inputs of each instance at one point in time.
type Batch struct {
	Now       time.Duration
	Instances []InstanceInputs
}

// InstanceInputs holds the inputs of one instance in a batch, in order.
type InstanceInputs struct {
	Instance int
	Inputs   []Input
}

// Input is one input of an instance. Exactly one field is set.
type Input struct {
	Settings *settings.ModuleSettings // starts the instance
	Stop     bool                     // ends the instance at once
	Event    decision.Event           // is passed to the decision module
}

// The errors of a line, in addition to those of encoding/json.
var (
	errTrailingText        = errors.New("text after the value")
	errIncompleteBatch     = errors.New("batch: moment or groups is missing")
	errMissingInstance     = errors.New("group: i is missing")
	errInstanceNotOpen     = errors.New("the instance was never opened")
	errUnknownEvent        = errors.New("unknown event")
	errInvalidListRef      = errors.New("ref is missing or out of range")
	errMissingEngine       = errors.New("a row names no engine")
	errMissingStatement    = errors.New("corr is missing")
	errIncompleteArrival   = errors.New("corr or timeBudget is missing")
	errInvalidTenantNumber = errors.New("clientGroup is a number other than 0")
	errInvalidTenantType   = errors.New("clientGroup is no name")
)

// maxListRef is the highest number that an endpoint list can have.
const maxListRef = 15

// Decoder decodes batches. It stores what is sent only once: the numbered endpoint lists, which all instances share, and the
// workload names and report fields of each instance. It is not safe for concurrent use.
type Decoder struct {
	endpointLists map[int][]decision.Endpoint
	instances     map[int]*instance
}

// instance holds what the decoder stores about an open instance.
type instance struct {
	workloads    map[string]decision.WorkloadID
	reportFields []decision.LoadReportField
}

// NewDecoder returns a decoder without endpoint lists and instances.
func NewDecoder() *Decoder {
	return &Decoder{endpointLists: map[int][]decision.Endpoint{}, instances: map[int]*instance{}}
}

// message is one message on the wire. Its only key is the message's name, and the value is the body.
type message map[string]json.RawMessage

// DecodeBatch decodes the batch of one line.
func (d *Decoder) DecodeBatch(line []byte) (*Batch, error) {
	var in struct {
		Moment *settings.Microseconds `json:"moment"`
		Groups []struct {
			I     *int      `json:"i"`
			Input []message `json:"input"`
		} `json:"groups"`
	}
	if err := decodeStrictly(line, &in); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if in.Moment == nil || in.Groups == nil {
		return nil, errIncompleteBatch
	}
	batch := &Batch{Now: in.Moment.Duration()}
	for _, group := range in.Groups {
		if group.I == nil {
			return nil, errMissingInstance
		}
		inputs, err := d.decodeInputs(*group.I, group.Input)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", *group.I, err)
		}
		batch.Instances = append(batch.Instances, InstanceInputs{Instance: *group.I, Inputs: inputs})
	}
	return batch, nil
}

func (d *Decoder) decodeInputs(id int, messages []message) ([]Input, error) {
	var inputs []Input
	for _, m := range messages {
		if len(m) != 1 {
			return nil, fmt.Errorf("a message has %d names, not one", len(m))
		}
		for name, body := range m {
			input, err := d.decodeInput(id, name, body)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			if input != nil {
				inputs = append(inputs, *input)
			}
		}
	}
	return inputs, nil
}

// decodeInput decodes one message. It stores an endpoint list and returns no input for it.
func (d *Decoder) decodeInput(id int, name string, body json.RawMessage) (*Input, error) {
	switch name {
	case "SnapshotRows":
		return nil, d.storeEndpointList(body)
	case "OpenInstance":
		return d.openInstance(id, body)
	}
	in := d.instances[id]
	if in == nil {
		return nil, errInstanceNotOpen
	}
	if name == "Down" {
		delete(d.instances, id)
		return &Input{Stop: true}, decodeStrictly(body, &struct{}{})
	}
	decode, ok := eventDecoders[name]
	if !ok {
		return nil, errUnknownEvent
	}
	event, err := decode(d, in, body)
	if err != nil {
		return nil, err
	}
	return &Input{Event: event}, nil
}

// decodeStrictly decodes one JSON value. Unknown fields and text after the value are errors.
func decodeStrictly(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errTrailingText
	}
	return nil
}
