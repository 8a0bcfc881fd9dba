package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"bankledge/decision"
	"bankledge/internal/jsonerror"
	"bankledge/internal/settings"
)

// Endpoint is an engine in an event, with the address at which it listens.
type Endpoint struct {
	decision.Endpoint
	Address           string // host and port
	startedUnixMillis int64  // Unix time of the start, or 0 if the feed sends none
}

// WatchEvent is one numbered change of the endpoint list.
type WatchEvent struct {
	Number    int64 // ascending and without gaps
	Revision  int64 // revision of the endpoint list
	Complete  bool  // Endpoints is the complete list, not only the changed endpoints
	Endpoints []Endpoint
}

// engineStates maps the phases in the control feed to engine states.
var engineStates = map[string]decision.EngineState{
	"active":  decision.Ready,
	"leaving": decision.Draining,
	"left":    decision.Removed,
}

var errNoMemberID = errors.New("a member without an id")

// The wire format of an event. These are aliases of unnamed types, since the errors of encoding/json contain the names of types. Operators
// read these errors, so their texts must not change.
type (
	eventJSON = struct {
		N       int64        `json:"n"`
		Members *membersJSON `json:"members"`
	}
	membersJSON = struct {
		Revision int64        `json:"revision"`
		Complete bool         `json:"complete"`
		Members  []memberJSON `json:"members"`
	}
	memberJSON = struct {
		ID       decision.EngineID    `json:"id"`
		HostPort string               `json:"host_port"`
		Locality decision.Zone        `json:"locality"`
		Flavor   decision.MachineType `json:"flavor"`
		Cell     decision.Cell        `json:"cell"`
		Phase    string               `json:"phase"`
		Size     float64              `json:"size"`
		UpSince  float64              `json:"up_since_ms"`
	}
)

// publishedNames maps Go type names to the names that appear in decoding errors. Such errors are written to standard error for the events
// of a configuration.
var publishedNames = strings.NewReplacer("decision.MachineType", "decision.Kind")

// ParseEvent parses one event. hasList is false if the event is not a change of the endpoint list. ParseEvent does not set StartedAt of the
// endpoints. If the event can be decoded but is invalid, its Number is returned with the error.
func ParseEvent(raw []byte) (event WatchEvent, hasList bool, err error) {
	var wire eventJSON
	if err := json.Unmarshal(raw, &wire); err != nil {
		return WatchEvent{}, false, jsonerror.WithPublishedNames(err, publishedNames)
	}
	event.Number = wire.N
	if wire.Members == nil {
		return event, false, nil
	}
	event.Revision = wire.Members.Revision
	event.Complete = wire.Members.Complete
	for _, member := range wire.Members.Members {
		endpoint, err := parseMember(member)
		if err != nil {
			return event, false, err
		}
		event.Endpoints = append(event.Endpoints, endpoint)
	}
	return event, true, nil
}

// parseMember validates one engine of an event. A removed engine needs no address.
func parseMember(member memberJSON) (Endpoint, error) {
	state, err := settings.ParseEnum("phase", member.Phase, engineStates)
	if err != nil {
		return Endpoint{}, err
	}
	if member.ID == "" {
		return Endpoint{}, errNoMemberID
	}
	err = settings.ValidateAddress(member.HostPort)
	if err != nil && state != decision.Removed {
		return Endpoint{}, fmt.Errorf("host_port of %s: %w", member.ID, err)
	}
	return Endpoint{
		Endpoint: decision.Endpoint{
			Engine:      member.ID,
			Zone:        member.Locality,
			MachineType: member.Flavor,
			Cell:        member.Cell,
			State:       state,
			Weight:      member.Size,
		},
		Address:           member.HostPort,
		startedUnixMillis: int64(member.UpSince),
	}, nil
}
