// Package steer is a router's link to the control group: it asks for terms and follows the stream of versions, as agree.Router says, with
// the parsers that the router has. It keeps no decision of its own.
package steer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"bankledge/internal/agree"
	"bankledge/internal/settings"
	"bankledge/internal/version"
)

// File is a router's control file: where the group is, and the spans that it and the group have in common. Times are milliseconds.
type File struct {
	Addresses []string `json:"addresses"`
	Lineage   string   `json:"lineage"` // the only one to follow; "": the first that is heard of
	Term      int64    `json:"term_ms"`
	Renew     int64    `json:"renew_ms"`
	Answer    int64    `json:"answer_ms"`
	Batch     int64    `json:"batch_ms"`
	Pause     int64    `json:"pause_ms"`
	Drift     float64  `json:"drift"`
	MostGone  float64  `json:"most_gone"` // share of the engines that one version may take away
}

const mostAddresses = 16

// Load reads a file; an error names the field.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	f := new(File)
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := f.Check(); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return f, nil
}

// Spans are the times of the terms; what is not given is as usual.
func (f *File) Spans() agree.Spans {
	s := agree.Defaults()
	for _, x := range []struct {
		ms int64
		of *time.Duration
	}{{f.Term, &s.Term}, {f.Renew, &s.Renew}, {f.Answer, &s.Answer}, {f.Batch, &s.Batch}, {f.Pause, &s.Pause}} {
		if x.ms != 0 {
			*x.of = time.Duration(x.ms) * time.Millisecond
		}
	}
	if f.Drift != 0 {
		s.Drift = f.Drift
	}
	return s
}

// Guards are this router's own, beside the group's.
func (f *File) Guards() version.Guards {
	if f.MostGone == 0 {
		return version.Guards{MostGone: 0.34}
	}
	return version.Guards{MostGone: f.MostGone}
}

// Check tells what is wrong; an error names the field.
func (f *File) Check() error {
	if len(f.Addresses) == 0 || len(f.Addresses) > mostAddresses {
		return fmt.Errorf("addresses: %d, not from 1 to %d", len(f.Addresses), mostAddresses)
	}
	for _, a := range f.Addresses {
		if err := settings.CheckAddress(a); err != nil {
			return fmt.Errorf("addresses: %w", err)
		}
	}
	if !(f.MostGone >= 0 && f.MostGone <= 1) {
		return errors.New("most_gone: not from 0 to 1")
	}
	return f.Spans().Check()
}
