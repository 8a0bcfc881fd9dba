package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// openInstance decodes the message that starts an instance, and stores the instance's workload names and report fields.
func (d *Decoder) openInstance(id int, body json.RawMessage) (*Input, error) {
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

// parseSeed parses a 64-bit seed, which may be written as a signed or an unsigned number.
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

var engineStatesByName = map[string]decision.EngineState{
	"Ready":       decision.Ready,
	"Terminating": decision.Draining,
	"Gone":        decision.Removed,
}

// storeEndpointList decodes an endpoint list and stores it under its number, by which events refer to it.
func (d *Decoder) storeEndpointList(body json.RawMessage) error {
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
	if m.Ref == nil || *m.Ref < 0 || *m.Ref > maxListRef {
		return errInvalidListRef
	}
	endpoints := make([]decision.Endpoint, 0, len(m.Rows))
	for _, row := range m.Rows {
		state, err := settings.ParseEnum("status", row.Status, engineStatesByName)
		if err != nil {
			return err
		}
		if row.Engine == "" {
			return errMissingEngine
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
	d.endpointLists[*m.Ref] = endpoints
	return nil
}
