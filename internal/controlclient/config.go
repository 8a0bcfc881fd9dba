package controlclient

import (
	"fmt"
	"os"
	"strings"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/jsonerror"
	"bankledge/internal/lease"
	"bankledge/internal/settings"
	"bankledge/internal/strictjson"
)

const (
	maxAddresses           = 16
	defaultMaxRemovedShare = 0.34
)

// Config is a router's control file: the addresses of the control group and the durations of the lease protocol, which have to be those
// of the group. A field that is missing or 0 has its default.
type Config struct {
	Addresses           []string `json:"addresses"` // client addresses of the group's processes
	Lineage             string   `json:"lineage"`   // lineage to follow; "": the first one that is received
	LeaseMillis         int64    `json:"term_ms"`
	RenewIntervalMillis int64    `json:"renew_ms"`
	ReplyTimeoutMillis  int64    `json:"answer_ms"`
	MaxBatchMillis      int64    `json:"batch_ms"`
	MaxPauseMillis      int64    `json:"pause_ms"`
	MaxClockDrift       float64  `json:"drift"`     // as a fraction: 0.01 is one percent
	MaxRemovedShare     float64  `json:"most_gone"` // largest fraction of the engines that one version may remove
}

// publishedNames replaces Go type names in the texts of decoding errors, which are printed on standard error, by names that stay the same
// when the types are renamed.
var publishedNames = strings.NewReplacer("controlclient.Config", "steer.File", "field Config.", "field File.")

// LoadConfig reads and validates a control file in JSON. The error names the invalid field.
func LoadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	config := new(Config)
	if err := strictjson.Decode(raw, config); err != nil {
		return nil, fmt.Errorf("control: %w", jsonerror.WithPublishedNames(err, publishedNames))
	}
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return config, nil
}

// LeaseDurations returns the durations of the lease protocol. The router and the group have to use the same lease duration and clock
// drift.
func (c *Config) LeaseDurations() lease.Durations {
	durations := lease.DefaultDurations()
	setMillis(&durations.LeaseDuration, c.LeaseMillis)
	setMillis(&durations.RenewInterval, c.RenewIntervalMillis)
	setMillis(&durations.ReplyTimeout, c.ReplyTimeoutMillis)
	setMillis(&durations.MaxBatch, c.MaxBatchMillis)
	setMillis(&durations.MaxPause, c.MaxPauseMillis)
	if c.MaxClockDrift != 0 {
		durations.MaxClockDrift = c.MaxClockDrift
	}
	return durations
}

// setMillis sets a duration unless millis is 0, which selects the default.
func setMillis(duration *time.Duration, millis int64) {
	if millis != 0 {
		*duration = time.Duration(millis) * time.Millisecond
	}
}

// Guards returns the guards with which this router checks versions, in addition to the checks of the group.
func (c *Config) Guards() configversion.Guards {
	if c.MaxRemovedShare == 0 {
		return configversion.Guards{MaxRemovedShare: defaultMaxRemovedShare}
	}
	return configversion.Guards{MaxRemovedShare: c.MaxRemovedShare}
}

// Validate returns an error that names the first invalid field by its key in the file.
func (c *Config) Validate() error {
	if len(c.Addresses) == 0 || len(c.Addresses) > maxAddresses {
		return fmt.Errorf("addresses: invalid number of entries %d: must be from 1 to %d", len(c.Addresses), maxAddresses)
	}
	for _, address := range c.Addresses {
		if err := settings.ValidateAddress(address); err != nil {
			return fmt.Errorf("addresses: %w", err)
		}
	}
	if !(c.MaxRemovedShare >= 0 && c.MaxRemovedShare <= 1) { // negated so that NaN is rejected, too
		return fmt.Errorf("most_gone: invalid value %v: must be from 0 to 1", c.MaxRemovedShare)
	}
	return c.LeaseDurations().Validate()
}
