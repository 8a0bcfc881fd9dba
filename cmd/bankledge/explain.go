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
	Config string `env:"LB_CONFIG" help:"Configuration, whose workloads labels are compared with; without it workloads are neither confirmed nor replaced by others."`
	JSON   bool   `name:"json" help:"Print a JSON object a line, not a table."`
	File   string `arg:"" help:"JSON Lines of statements: {\"c\": \"lookup\", \"h\": 820, \"heap_mb\": 96, \"body\": \"select ...\"}, of which only body is required; - for standard input."`
}

const (
	maxLineBytes   = 1 << 20
	maxEstimatedMS = 24 * 3600e3
)

// Why a line cannot be explained.
var (
	errBodyMissing = errors.New("body: missing")
	errBodyNoText  = errors.New("body: not a text")
	errWork        = errors.New("h: not a time in milliseconds")
	errMemory      = errors.New("heap_mb: not an amount")
)

// Run prints how the statements of a file are classified. No run of them was seen, so it is their text that counts.
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

// statementLine is one statement to explain, in the protocol's names. A nil field is absent.
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
		return line, errBodyMissing
	case !utf8.ValidString(*line.Text) || strings.TrimSpace(*line.Text) == "":
		return line, errBodyNoText
	case line.WorkMS != nil && !(*line.WorkMS > 0 && *line.WorkMS <= maxEstimatedMS):
		return line, errWork
	case line.MemoryMB != nil && !(*line.MemoryMB > 0):
		return line, errMemory
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

// explainer classifies statements.
type explainer struct {
	analyser    sqltext.Analyser
	workloads   []decision.Workload // nil: there is no configuration
	workloadIDs map[string]decision.WorkloadID
}

// newExplainer reads the workloads of a configuration; empty: there is none.
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

// explainLines explains a statement a line. The first line that cannot be used ends it with an error that has its number.
func (x *explainer) explainLines(in io.Reader, print linePrinter) error {
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
		if err := print(explained); err != nil {
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
	classifier := classify.New(x.workloads, 0) // a new one for each line: they do not teach each other
	verdict := classifier.Classify(0, declared, line.work(), line.memoryMB(), &analysis, new(classify.Observation))
	explained.Workload = &x.workloads[verdict.Workload].Name
	explained.Reason = verdict.Reason.String()
	explained.Confidence = verdict.Confidence
	if verdict.Work > 0 {
		workMS := float64(verdict.Work) / float64(time.Millisecond)
		explained.WorkMS = &workMS
	}
	if verdict.MemoryMB > 0 {
		explained.MemoryMB = &verdict.MemoryMB
	}
	return explained, nil
}
