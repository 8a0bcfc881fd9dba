package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// open decodes the message that starts an instance, and keeps its names.
func (d *Decoder) open(id int, body json.RawMessage) (*Input, error) {
	var m struct {
		RngSeed json.Number     `json:"rngSeed"`
		Info    json.RawMessage `json:"info"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return nil, err
	}
	seed, err := parseSeed(m.RngSeed.String())
	if err != nil {
		return nil, err
	}
	module, err := settings.ParseModuleSettings(seed, m.Info)
	if err != nil {
		return nil, err
	}
	opened := &instance{
		workloads:    map[string]decision.WorkloadID{},
		reportFields: module.LoadReports.Fields,
	}
	for i, w := range module.Workloads {
		opened.workloads[w.Name] = decision.WorkloadID(i)
	}
	d.instances[id] = opened
	return &Input{Settings: module}, nil
}

// parseSeed reads a seed of 64 bits, which may be written as a signed number.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		return seed, nil
	}
	signed, signedErr := strconv.ParseInt(text, 10, 64)
	if signedErr != nil {
		return 0, fmt.Errorf("rngSeed: %w", err)
	}
	return uint64(signed), nil
}

var engineStateWords = map[string]decision.EngineState{
	"Ready":       decision.Ready,
	"Terminating": decision.Draining,
	"Gone":        decision.Removed,
}

// keepList decodes a numbered list, to which events refer.
func (d *Decoder) keepList(body json.RawMessage) error {
	var m struct {
		Ref  *int `json:"ref"`
		Rows []struct {
			Engine    decision.EngineID     `json:"engine"`
			Locality  decision.Zone         `json:"locality"`
			SKU       decision.MachineType  `json:"sku"`
			Cluster   decision.Cell         `json:"cluster"`
			Status    string                `json:"status"`
			Share     float64               `json:"share"`
			StartedAt settings.Microseconds `json:"startedAt"`
		} `json:"rows"`
	}
	if err := decodeStrictly(body, &m); err != nil {
		return err
	}
	if m.Ref == nil || *m.Ref < 0 || *m.Ref > maxListNumber {
		return errListNumber
	}
	endpoints := make([]decision.Endpoint, 0, len(m.Rows))
	for _, row := range m.Rows {
		state, err := settings.LookUpWord("status", row.Status, engineStateWords)
		if err != nil {
			return err
		}
		if row.Engine == "" {
			return errNoEngine
		}
		endpoints = append(endpoints, decision.Endpoint{
			Engine:      row.Engine,
			Zone:        row.Locality,
			MachineType: row.SKU,
			Cell:        row.Cluster,
			State:       state,
			Weight:      row.Share,
			StartedAt:   row.StartedAt.Duration(),
		})
	}
	d.lists[*m.Ref] = endpoints
	return nil
}
