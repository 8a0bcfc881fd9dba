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

// Batch is one line of the wire: what happens at a time, instance by instance.
type Batch struct {
	Now       time.Duration
	Instances []InstanceInputs
}

// InstanceInputs is what one instance gets in a batch, in order.
type InstanceInputs struct {
	Instance int
	Inputs   []Input
}

// Input is one thing that happens to an instance: exactly one field is set.
type Input struct {
	Settings *settings.ModuleSettings // the instance starts
	Stop     bool                     // the instance ends at once
	Event    decision.Event           // what the module itself takes
}

// What is wrong with a line, beside what encoding/json finds.
var (
	errTrailingText      = errors.New("text after the value")
	errIncompleteBatch   = errors.New("batch: moment or groups is missing")
	errNoInstance        = errors.New("group: i is missing")
	errNotOpened         = errors.New("the instance was never opened")
	errUnknownEvent      = errors.New("unknown event")
	errListNumber        = errors.New("ref is missing or out of range")
	errNoEngine          = errors.New("a row names no engine")
	errNoStatement       = errors.New("corr is missing")
	errIncompleteArrival = errors.New("corr or timeBudget is missing")
	errTenantNumber      = errors.New("clientGroup is a number other than 0")
	errTenantType        = errors.New("clientGroup is no name")
)

// maxListNumber is the highest number of a shared list.
const maxListNumber = 15

// Decoder reads batches. It keeps what the wire states once: the numbered lists, which instances share, and the names that
// each instance has for its workloads and report fields. One goroutine at a time may use it.
type Decoder struct {
	lists     map[int][]decision.Endpoint
	instances map[int]*instance
}

// instance is what the decoder knows of an instance that was opened.
type instance struct {
	workloads    map[string]decision.WorkloadID
	reportFields []decision.LoadReportField
}

// NewDecoder returns a decoder that knows no list and no instance.
func NewDecoder() *Decoder {
	return &Decoder{lists: map[int][]decision.Endpoint{}, instances: map[int]*instance{}}
}

// message is one message of the wire: its name, and its body under that name.
type message map[string]json.RawMessage

// DecodeBatch decodes one line.
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
			return nil, errNoInstance
		}
		inputs, err := d.inputs(*group.I, group.Input)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", *group.I, err)
		}
		batch.Instances = append(batch.Instances, InstanceInputs{Instance: *group.I, Inputs: inputs})
	}
	return batch, nil
}

func (d *Decoder) inputs(id int, messages []message) ([]Input, error) {
	var inputs []Input
	for _, m := range messages {
		if len(m) != 1 {
			return nil, fmt.Errorf("a message has %d names, not one", len(m))
		}
		for name, body := range m {
			input, err := d.input(id, name, body)
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

// input decodes one message; a shared list is kept and is no input.
func (d *Decoder) input(id int, name string, body json.RawMessage) (*Input, error) {
	switch name {
	case "SnapshotRows":
		return nil, d.keepList(body)
	case "OpenInstance":
		return d.open(id, body)
	}
	in := d.instances[id]
	if in == nil {
		return nil, errNotOpened
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

// decodeStrictly decodes one value and allows neither unknown fields nor anything after it.
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
