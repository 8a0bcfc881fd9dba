package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/settings"
	"bankledge/internal/sqltext"
)

type explain struct {
	Config string `env:"LB_CONFIG" help:"Configuration, whose workloads labels are held against; without it workloads are neither confirmed nor treated as others."`
	JSON   bool   `name:"json" help:"Print a JSON object a line, not a table."`
	File   string `arg:"" help:"JSON Lines of statements: {\"c\": \"lookup\", \"h\": 820, \"heap_mb\": 96, \"body\": \"select ...\"}, of which only body is required; - for standard input."`
}

const mostLine = 1 << 20 // bytes of one line

// asked is one statement to explain, in the protocol's names.
type asked struct {
	Workload *string  `json:"c"`
	WorkMS   *float64 `json:"h"`
	MemoryMB *float64 `json:"heap_mb"`
	Text     *string  `json:"body"`
}

// explained is what is said of it. What is not known is null.
type explained struct {
	Declared   *string  `json:"declared"`
	Workload   *string  `json:"workload"`
	Reason     string   `json:"reason"`
	Kind       string   `json:"kind"`
	Read       []int64  `json:"groups_read"`
	Written    []int64  `json:"groups_written"`
	Holds      *int64   `json:"holds"`
	Shape      string   `json:"shape"`
	Normal     string   `json:"normal"`
	Joins      int32    `json:"joins"`
	WorkMS     *float64 `json:"work_ms"`
	MemoryMB   *float64 `json:"memory_mb"`
	Confidence float64  `json:"confidence"`
}

// Run explains what statements look like. Nothing has been seen of their shapes, so it is structure that speaks.
func (e *explain) Run() error {
	explainer, err := newExplainer(e.Config)
	if err != nil {
		return err
	}
	in := io.Reader(os.Stdin)
	if e.File != "-" {
		file, err := os.Open(e.File)
		if err != nil {
			return err
		}
		defer file.Close()
		in = file
	}
	return explainer.all(in, os.Stdout, e.JSON)
}

type explainer struct {
	reader   sqltext.Analyser
	looks    *classify.Classifier
	known    map[string]decision.WorkloadID
	names    []string
	declared []decision.Workload
}

func newExplainer(config string) (*explainer, error) {
	x := &explainer{known: map[string]decision.WorkloadID{}}
	if config == "" {
		return x, nil
	}
	cfg, err := settings.Load(config)
	if err != nil {
		return nil, err
	}
	x.declared = cfg.Module.Workloads
	for i, w := range x.declared {
		x.known[w.Name], x.names = decision.WorkloadID(i), append(x.names, w.Name)
	}
	return x, nil
}

// all explains a statement a line. A line that cannot be used is told of with its number, and ends it.
func (x *explainer) all(in io.Reader, out io.Writer, asJSON bool) error {
	lines, printer := bufio.NewScanner(in), json.NewEncoder(out)
	printer.SetEscapeHTML(false)
	lines.Buffer(nil, mostLine)
	n := 0
	for lines.Scan() {
		if n++; strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		said, err := x.one(lines.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if asJSON {
			err = printer.Encode(said)
		} else {
			_, err = fmt.Fprintln(out, said)
		}
		if err != nil {
			return err
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return fmt.Errorf("line %d: longer than %d bytes", n+1, mostLine)
	}
	return lines.Err()
}

func (x *explainer) one(line []byte) (*explained, error) {
	var a asked
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, err
	}
	switch {
	case a.Text == nil:
		return nil, errors.New("body: missing")
	case !utf8.ValidString(*a.Text) || strings.TrimSpace(*a.Text) == "":
		return nil, errors.New("body: not a text")
	case a.WorkMS != nil && !(*a.WorkMS > 0 && *a.WorkMS <= 24*3600e3):
		return nil, errors.New("h: not a time in milliseconds")
	case a.MemoryMB != nil && !(*a.MemoryMB > 0):
		return nil, errors.New("heap_mb: not an amount")
	}
	s := x.reader.Analyse([]byte(*a.Text))
	said := &explained{Declared: a.Workload, Workload: a.Workload, Reason: classify.ReasonUnknownFingerprint.String(), Kind: s.Kind.String(),
		Read: append([]int64{}, s.Read.Slice()...), Written: append([]int64{}, s.Written.Slice()...), Normal: string(x.reader.NormalizedText()),
		Joins: s.Joins, WorkMS: a.WorkMS, MemoryMB: a.MemoryMB}
	if s.Fingerprint != 0 {
		said.Shape = strconv.FormatUint(s.Fingerprint, 16)
		said.Shape = strings.Repeat("0", 16-len(said.Shape)) + said.Shape
	}
	if h := s.LockedGroup(); h != sqltext.NoGroup {
		said.Holds = &h
	}
	if s.Truncated {
		said.Reason = classify.ReasonTextTooLarge.String()
	}
	if a.Workload == nil || x.declared == nil {
		return said, nil
	}
	id, ok := x.known[*a.Workload]
	if !ok {
		return nil, fmt.Errorf("c: unknown workload %q", *a.Workload)
	}
	var work time.Duration
	var memory float64
	if a.WorkMS != nil {
		work = time.Duration(*a.WorkMS * float64(time.Millisecond))
	}
	if a.MemoryMB != nil {
		memory = *a.MemoryMB
	}
	v := classify.New(x.declared, 0).Classify(0, id, work, memory, &s, new(classify.Observation)) // each line for itself: nothing was seen before
	said.Workload, said.Reason, said.Confidence = &x.names[v.Workload], v.Reason.String(), v.Confidence
	if v.Work > 0 {
		ms := float64(v.Work) / float64(time.Millisecond)
		said.WorkMS = &ms
	}
	if v.MemoryMB > 0 {
		said.MemoryMB = &v.MemoryMB
	}
	return said, nil
}

// String is a line for people.
func (e *explained) String() string {
	word := func(s *string) string {
		if s == nil {
			return "-"
		}
		return *s
	}
	holds := "-"
	if e.Holds != nil {
		holds = strconv.FormatInt(*e.Holds, 10)
	}
	return fmt.Sprintf("%s as %s (%s, %.2f)  %s  reads %v writes %v holds %s  %s  %s", word(e.Declared), word(e.Workload), e.Reason,
		e.Confidence, e.Kind, e.Read, e.Written, holds, e.Shape, e.Normal)
}
