package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"

	"bankledge/internal/jsonerror"
)

// Config is a validated configuration of a router.
type Config struct {
	Name             string
	ListenAddress    string
	Seed             uint64
	Limits           ResourceLimits
	DiscoveryAddress string            // address of the control feed
	KnownEvents      []json.RawMessage // events of the control feed that are already known
	LastEventID      int64             // number of the last known event
	Module           *ModuleSettings

	// ClassificationDisabled makes the router treat statements as their clients declare them. It is set on the command line.
	ClassificationDisabled bool

	settings any // the decoded settings object of the file
}

// ResourceLimits holds the resources that the platform provides to the router.
type ResourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // maximum number of open sockets
}

// Minimum resources: with less the router cannot serve requests.
const (
	minMemoryMB = 32
	minSockets  = 64
)

// Errors of invalid fields.
var (
	errMissing     = errors.New("missing: must be an object")
	errEmpty       = errors.New("missing or empty: must contain at least one workload")
	errNotPositive = errors.New("must be above 0")
	errNegative    = errors.New("must be at least 0")
)

// configFile is the JSON form of a configuration. It is an alias of an unnamed struct, so that errors of encoding/json contain only the
// JSON keys.
type configFile = struct {
	Name   string         `json:"name"`
	Listen string         `json:"listen"`
	Seed   string         `json:"seed"` // hexadecimal
	Limits ResourceLimits `json:"limits"`
	Feed   string         `json:"feed"`
	Known  struct {
		N      int64             `json:"n"`
		Events []json.RawMessage `json:"events"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads a configuration file. The error for an invalid field names the field.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseConfig(raw)
}

// publishedNames replaces the names of Go types in the texts of decoding errors, which are printed to standard error, by the published
// names.
var publishedNames = strings.NewReplacer(
	"decision.MachineType", "decision.Kind",
	"settings.Microseconds", "settings.micro",
	"settings.ResourceLimits", "settings.Machine",
	"field ResourceLimits.", "field Machine.",
)

// ParseConfig parses a configuration. The error for an invalid field names the field.
func ParseConfig(raw []byte) (*Config, error) {
	var in configFile
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("configuration: %w", jsonerror.WithPublishedNames(err, publishedNames))
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, &FieldError{Field: "seed", Err: fmt.Errorf("invalid value %q: must be an unsigned 64-bit number in hexadecimal without 0x", in.Seed)}
	}
	if err := checkConfig(&in); err != nil {
		return nil, err
	}
	module, err := ParseModuleSettings(seed, in.Settings)
	if err != nil {
		return nil, &FieldError{Field: "settings", Err: err}
	}
	var settings any
	if err := json.Unmarshal(in.Settings, &settings); err != nil {
		return nil, &FieldError{Field: "settings", Err: err}
	}
	if len(module.Workloads) == 0 {
		return nil, &FieldError{Field: "settings: classes", Err: errEmpty}
	}
	return &Config{
		Name:             in.Name,
		ListenAddress:    in.Listen,
		Seed:             seed,
		Limits:           in.Limits,
		DiscoveryAddress: in.Feed,
		KnownEvents:      in.Known.Events,
		LastEventID:      in.Known.N,
		Module:           module,
		settings:         settings,
	}, nil
}

// checkConfig validates all fields except the seed and the module's settings.
func checkConfig(in *configFile) error {
	if err := ValidateAddress(in.Listen); err != nil {
		return &FieldError{Field: "listen", Err: err}
	}
	if err := ValidateAddress(in.Feed); err != nil {
		return &FieldError{Field: "feed", Err: err}
	}
	switch {
	case !(in.Limits.Cores > 0): // also rejects NaN
		return &FieldError{Field: "limits.cores", Err: fmt.Errorf("invalid value %v: %w", in.Limits.Cores, errNotPositive)}
	case in.Limits.MemoryMB < minMemoryMB:
		return &FieldError{Field: "limits.memory_mb", Err: fmt.Errorf("invalid value %d: must be at least %d", in.Limits.MemoryMB, minMemoryMB)}
	case in.Limits.Sockets < minSockets:
		return &FieldError{Field: "limits.sockets", Err: fmt.Errorf("invalid value %d: must be at least %d", in.Limits.Sockets, minSockets)}
	case in.Known.N < 0:
		return &FieldError{Field: "known.n", Err: fmt.Errorf("invalid value %d: %w", in.Known.N, errNegative)}
	case len(in.Settings) == 0:
		return &FieldError{Field: "settings", Err: errMissing}
	}
	return nil
}

// RestartRequired returns the names of the fields that differ from another configuration and take effect only at a restart.
func (c *Config) RestartRequired(other *Config) []string {
	var fields []string
	for _, field := range []struct {
		name            string
		current, reload any
	}{
		{"name", c.Name, other.Name},
		{"listen", c.ListenAddress, other.ListenAddress},
		{"limits", c.Limits, other.Limits},
		{"settings", c.settings, other.settings},
	} {
		if !reflect.DeepEqual(field.current, field.reload) {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// ValidateAddress returns an AddressError unless the text is an IP address with a port.
func ValidateAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return AddressError{Text: text}
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 || net.ParseIP(host) == nil {
		return AddressError{Text: text}
	}
	return nil
}
