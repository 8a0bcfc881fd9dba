package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/settings"
	"bankledge/internal/sqltext"
)

type explainCommand struct {
	Config string `env:"LB_CONFIG" help:"Configuration file that defines the workloads. Without it, declared workloads are neither validated nor replaced."`
	JSON   bool   `name:"json" help:"Print one JSON object per statement instead of a line of text."`
	File   string `arg:"" help:"File of statements in JSON Lines format, or - for standard input. A line is an object such as {\"c\": \"lookup\", \"h\": 820, \"heap_mb\": 96, \"body\": \"select ...\"}, in which only body is required."`
}

const (
	maxLineBytes   = 1 << 20
	maxEstimatedMS = 24 * 3600e3
)

// The reasons why a line is invalid.
var (
	errMissingBody   = errors.New("body: missing")
	errInvalidBody   = errors.New("body: must be valid UTF-8 and not blank")
	errInvalidWork   = errors.New("h: must be above 0 and at most 24 hours, in milliseconds")
	errInvalidMemory = errors.New("heap_mb: must be above 0")
)

// Run prints how the statements of a file are classified. The classification uses their text alone, since no earlier run of them is known.
func (e *explainCommand) Run() error {
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
	return explainer.explainLines(in, newLinePrinter(os.Stdout, e.JSON))
}

// statementLine is one statement to explain, with the field names of the client protocol. A nil field is absent.
type statementLine struct {
	Workload *string  `json:"c"`
	WorkMS   *float64 `json:"h"`
	MemoryMB *float64 `json:"heap_mb"`
	Text     *string  `json:"body"`
}

func parseStatementLine(raw []byte) (line statementLine, err error) {
	if err := json.Unmarshal(raw, &line); err != nil {
		return line, err
	}
	switch {
	case line.Text == nil:
		return line, errMissingBody
	case !utf8.ValidString(*line.Text) || strings.TrimSpace(*line.Text) == "":
		return line, errInvalidBody
	case line.WorkMS != nil && !(*line.WorkMS > 0 && *line.WorkMS <= maxEstimatedMS):
		return line, errInvalidWork
	case line.MemoryMB != nil && !(*line.MemoryMB > 0):
		return line, errInvalidMemory
	}
	return line, nil
}

func (l *statementLine) work() time.Duration {
	if l.WorkMS == nil {
		return 0
	}
	return time.Duration(*l.WorkMS * float64(time.Millisecond))
}

func (l *statementLine) memoryMB() float64 {
	if l.MemoryMB == nil {
		return 0
	}
	return *l.MemoryMB
}

// explainer analyses statements and, if it has a configuration, classifies them into its workloads.
type explainer struct {
	analyser    sqltext.Analyser
	workloads   []decision.Workload // nil without a configuration
	workloadIDs map[string]decision.WorkloadID
}

// newExplainer reads the workloads of a configuration file. An empty name means that there is no configuration.
func newExplainer(configFile string) (*explainer, error) {
	x := &explainer{workloadIDs: map[string]decision.WorkloadID{}}
	if configFile == "" {
		return x, nil
	}
	cfg, err := settings.Load(configFile)
	if err != nil {
		return nil, err
	}
	x.workloads = cfg.Module.Workloads
	for i, workload := range x.workloads {
		x.workloadIDs[workload.Name] = decision.WorkloadID(i)
	}
	return x, nil
}

// explainLines explains one statement per line and skips blank lines. It stops at the first invalid line with an error that contains the
// line's number.
func (x *explainer) explainLines(in io.Reader, printLine linePrinter) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		explained, err := x.explain(lines.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := printLine(explained); err != nil {
			return err
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return fmt.Errorf("line %d: longer than %d bytes", number+1, maxLineBytes)
	}
	return lines.Err()
}

func (x *explainer) explain(raw []byte) (*explanation, error) {
	line, err := parseStatementLine(raw)
	if err != nil {
		return nil, err
	}
	analysis := x.analyser.Analyse([]byte(*line.Text))
	explained := newExplanation(&line, &analysis, string(x.analyser.NormalizedText()))
	if line.Workload == nil || x.workloads == nil {
		return explained, nil
	}
	declared, known := x.workloadIDs[*line.Workload]
	if !known {
		return nil, fmt.Errorf("c: unknown workload %q", *line.Workload)
	}
	classifier := classify.New(x.workloads, 0) // a new one for each line, so that no line affects how another is classified
	classification := classifier.Classify(0, declared, line.work(), line.memoryMB(), &analysis, new(classify.Observation))
	explained.Workload = &x.workloads[classification.Workload].Name
	explained.Reason = classification.Reason.String()
	explained.Confidence = classification.Confidence
	if classification.Work > 0 {
		workMS := float64(classification.Work) / float64(time.Millisecond)
		explained.WorkMS = &workMS
	}
	if classification.MemoryMB > 0 {
		explained.MemoryMB = &classification.MemoryMB
	}
	return explained, nil
}
