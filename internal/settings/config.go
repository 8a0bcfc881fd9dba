package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
)

// Config is a router's configuration, checked.
type Config struct {
	Name             string
	ListenAddress    string
	Seed             uint64
	Limits           ResourceLimits
	DiscoveryAddress string
	KnownEvents      []json.RawMessage // the control feed's events up to now
	LastEventID      int64             // number of the last of them
	Module           *ModuleSettings

	ClassificationDisabled bool // statements are taken as what their clients declare; from the command line

	settings any // as they stand in the file
}

// Differs names the fields that are read only at the start and differ in another configuration.
func (c *Config) RestartRequired(other *Config) (fields []string) {
	for _, f := range []struct {
		name      string
		ours, now any
	}{{"name", c.Name, other.Name}, {"listen", c.ListenAddress, other.ListenAddress}, {"limits", c.Limits, other.Limits},
		{"settings", c.settings, other.settings}} {
		if !reflect.DeepEqual(f.ours, f.now) {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// Machine is what the platform gives the router.
type ResourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// least of each limit with which the router can serve at all.
const (
	leastMemoryMB = 32
	leastSockets  = 64
)

// Load reads a configuration file; an error names the field.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseConfig(raw)
}

// ParseConfig reads a configuration; an error names the field.
func ParseConfig(raw []byte) (*Config, error) {
	var in struct {
		Name   string         `json:"name"`
		Listen string         `json:"listen"`
		Seed   string         `json:"seed"`
		Limits ResourceLimits `json:"limits"`
		Feed   string         `json:"feed"`
		Known  struct {
			N      int64             `json:"n"`
			Events []json.RawMessage `json:"events"`
		} `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{Name: in.Name, ListenAddress: in.Listen, Limits: in.Limits, DiscoveryAddress: in.Feed, KnownEvents: in.Known.Events,
		LastEventID: in.Known.N}
	var err error
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number in hex", in.Seed)
	}
	for _, f := range []struct{ name, value string }{{"listen", in.Listen}, {"feed", in.Feed}} {
		if err := ValidateAddress(f.value); err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	switch {
	case !(in.Limits.Cores > 0):
		return nil, errors.New("limits.cores: not above 0")
	case in.Limits.MemoryMB < leastMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb: under %d", leastMemoryMB)
	case in.Limits.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: under %d", leastSockets)
	case in.Known.N < 0:
		return nil, errors.New("known.n: under 0")
	case len(in.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if c.Module, err = ParseModuleSettings(c.Seed, in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(in.Settings, &c.settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(c.Module.Workloads) == 0 {
		return nil, errors.New("settings: classes: none")
	}
	return c, nil
}

// CheckAddress tells whether text is an address and a port.
func ValidateAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an address with a port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an address with a port", text)
	}
	return nil
}
