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

// Endpoint is an engine in an event, with the address where it listens.
type Endpoint struct {
	decision.Endpoint
	Address           string // host and port
	startedUnixMillis int64  // Unix time of a late start, or 0
}

// WatchEvent is one numbered change of the endpoint list.
type WatchEvent struct {
	Number    int64 // ascending, without gaps
	Revision  int64 // of the list
	Complete  bool  // Endpoints is the complete list, not only what has changed
	Endpoints []Endpoint
}

// engineStates maps the control feed's names of an engine's phase.
var engineStates = map[string]decision.EngineState{
	"active":  decision.Ready,
	"leaving": decision.Draining,
	"left":    decision.Removed,
}

var errNoMemberID = errors.New("a member without an id")

// The wire form of an event. These are aliases since errors of encoding/json name the type that they are about: operators read
// those, and they stay as they are.
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

// publishedNames are the names of types in the texts of decoding errors, which go to standard error for the events of a configuration.
var publishedNames = strings.NewReplacer("decision.MachineType", "decision.Kind")

// ParseEvent reads one event; hasList is false for an event of another kind than a change of the endpoint list. StartedAt of the
// endpoints is not worked out yet. Where an event can be read but is not valid, its Number is returned with the error.
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

// parseMember validates one engine of an event. One that has been removed needs no address.
func parseMember(member memberJSON) (Endpoint, error) {
	state, err := settings.LookUpWord("phase", member.Phase, engineStates)
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
