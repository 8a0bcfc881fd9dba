package proxy

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/sqltext"
)

// Names of a request's fields in the protocol.
const (
	fieldID         = "i"
	fieldWorkload   = "c"
	fieldTimeLeftMS = "d"
	fieldTenant     = "t"
	fieldResent     = "r"
	fieldWorkMS     = "h"
	fieldMemoryMB   = "heap_mb"
)

const (
	idDigits       = 16
	hexDigits      = "0123456789abcdefABCDEF"
	maxTimeLeft    = 24 * time.Hour
	maxEstimatedMS = 24 * 3600e3
)

// Errors of invalid requests. Clients receive the texts as the bodies of rejections.
var (
	errID          = errors.New("field i: not 16 hex digits")
	errWorkload    = errors.New("field c: unknown workload")
	errTimeLeft    = errors.New("field d: not a time in milliseconds")
	errTenant      = errors.New("field t: unknown member group")
	errWork        = errors.New("field h: not a time in milliseconds")
	errMemory      = errors.New("field heap_mb: not an amount that an engine has")
	errResent      = errors.New("field r: neither absent nor 1")
	errInvalidText = errors.New("the statement is not a text")
	errNoMemory    = errors.New("no memory left for the statement")
)

// admit parses the fields and the text of a request, once, into its record and the module's event. An invalid request never ran, so the
// error can safely be sent as a rejection.
func (r *Router) admit(c client, fields downstream.Fields, text []byte, receivedAt time.Time) (*request, decision.StatementArrived, error) {
	arrived, timeLeft, err := r.parseFields(fields)
	if err != nil {
		return nil, arrived, err
	}
	if !isValidText(text) {
		return nil, arrived, errInvalidText
	}
	if !c.ReserveText(len(text)) {
		return nil, arrived, errNoMemory
	}
	analysis := r.analyse(text)
	arrived.TableGroup = decision.TableGroup(analysis.PrimaryGroup())
	moduleSettings := r.config.Module
	arrived.Writes = moduleSettings.Workloads[arrived.Workload].BulkLoad
	req := &request{
		id:         arrived.Statement,
		workload:   fields[fieldWorkload],
		text:       append([]byte(nil), text...),
		client:     c,
		receivedAt: receivedAt,
		deadline:   receivedAt.Add(timeLeft),
		invariants: invariant.NewRequest(arrived.Statement, &r.enforcedWorkloads[arrived.Workload], moduleSettings.Limits),
		analysis:   analysis,
	}
	return req, arrived, nil
}

// parseFields parses and checks the fields in a fixed order: the client receives the error of the first invalid field.
func (r *Router) parseFields(fields downstream.Fields) (arrived decision.StatementArrived, timeLeft time.Duration, err error) {
	id := fields[fieldID]
	if len(id) != idDigits || strings.Trim(id, hexDigits) != "" {
		return arrived, 0, errID
	}
	workload, known := r.workloadIDs[fields[fieldWorkload]]
	if !known {
		return arrived, 0, errWorkload
	}
	timeLeftMS, err := strconv.ParseFloat(fields[fieldTimeLeftMS], 64)
	if err != nil || !(timeLeftMS > 0) || timeLeftMS > float64(maxTimeLeft.Milliseconds()) {
		return arrived, 0, errTimeLeft
	}
	tenant := decision.Tenant(fields[fieldTenant])
	if len(r.tenants) > 0 && !r.tenants[tenant] {
		return arrived, 0, errTenant
	}
	workMS, valid := parseEstimate(fields, fieldWorkMS, maxEstimatedMS)
	if !valid {
		return arrived, 0, errWork
	}
	memoryMB, valid := parseEstimate(fields, fieldMemoryMB, r.maxEstimateMB)
	if !valid {
		return arrived, 0, errMemory
	}
	resent := fields[fieldResent]
	if resent != "" && resent != "1" {
		return arrived, 0, errResent
	}
	timeLeft = time.Duration(timeLeftMS * float64(time.Millisecond))
	return decision.StatementArrived{
		Statement:         decision.StatementID(id),
		Workload:          workload,
		Tenant:            tenant,
		TimeBudget:        timeLeft,
		EstimatedWork:     time.Duration(workMS * float64(time.Millisecond)),
		EstimatedMemoryMB: memoryMB,
		ClientRetry:       resent == "1",
	}, timeLeft, nil
}

// parseEstimate parses an estimate, which must be above 0 and at most highest. The value of an absent field is 0.
func parseEstimate(fields downstream.Fields, name string, highest float64) (value float64, valid bool) {
	text, present := fields[name]
	if !present {
		return 0, true
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value > 0 && value <= highest
}

// isValidText reports whether a statement's text is valid UTF-8, not blank and free of NUL bytes.
func isValidText(text []byte) bool {
	return utf8.Valid(text) && bytes.IndexByte(text, 0) < 0 && len(bytes.TrimSpace(text)) > 0
}

// analyse analyses a text with a pooled analyser, to reuse its buffers. An analyser that panics is not returned to the pool.
func (r *Router) analyse(text []byte) *sqltext.Statement {
	analyser := r.analysers.Get().(*sqltext.Analyser)
	analysis := analyser.Analyse(text)
	r.analysers.Put(analyser)
	return &analysis
}
