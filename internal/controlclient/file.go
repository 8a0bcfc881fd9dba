// Package steer is a router's link to the control group: it asks for terms and follows the stream of versions, as agree.Router says, with
// the parsers that the router has. It keeps no decision of its own.
package controlclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/settings"
)

// File is a router's control file: where the group is, and the spans that it and the group have in common. Times are milliseconds.
type Config struct {
	Addresses           []string `json:"addresses"`
	Lineage             string   `json:"lineage"` // the only one to follow; "": the first that is heard of
	LeaseMillis         int64    `json:"term_ms"`
	RenewIntervalMillis int64    `json:"renew_ms"`
	ReplyTimeoutMillis  int64    `json:"answer_ms"`
	MaxBatchMillis      int64    `json:"batch_ms"`
	MaxPauseMillis      int64    `json:"pause_ms"`
	MaxClockDrift       float64  `json:"drift"`
	MaxRemovedShare     float64  `json:"most_gone"` // share of the engines that one version may take away
}

const mostAddresses = 16

// Load reads a file; an error names the field.
func LoadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	f := new(Config)
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := f.Validate(); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return f, nil
}

// Spans are the times of the terms; what is not given is as usual.
func (f *Config) LeaseDurations() lease.Durations {
	s := lease.DefaultDurations()
	for _, x := range []struct {
		ms int64
		of *time.Duration
	}{{f.LeaseMillis, &s.LeaseDuration}, {f.RenewIntervalMillis, &s.RenewInterval}, {f.ReplyTimeoutMillis, &s.ReplyTimeout}, {f.MaxBatchMillis, &s.MaxBatch}, {f.MaxPauseMillis, &s.MaxPause}} {
		if x.ms != 0 {
			*x.of = time.Duration(x.ms) * time.Millisecond
		}
	}
	if f.MaxClockDrift != 0 {
		s.MaxClockDrift = f.MaxClockDrift
	}
	return s
}

// Guards are this router's own, beside the group's.
func (f *Config) Guards() configversion.Guards {
	if f.MaxRemovedShare == 0 {
		return configversion.Guards{MaxRemovedShare: 0.34}
	}
	return configversion.Guards{MaxRemovedShare: f.MaxRemovedShare}
}

// Check tells what is wrong; an error names the field.
func (f *Config) Validate() error {
	if len(f.Addresses) == 0 || len(f.Addresses) > mostAddresses {
		return fmt.Errorf("addresses: %d, not from 1 to %d", len(f.Addresses), mostAddresses)
	}
	for _, a := range f.Addresses {
		if err := settings.ValidateAddress(a); err != nil {
			return fmt.Errorf("addresses: %w", err)
		}
	}
	if !(f.MaxRemovedShare >= 0 && f.MaxRemovedShare <= 1) {
		return errors.New("most_gone: not from 0 to 1")
	}
	return f.LeaseDurations().Validate()
}
