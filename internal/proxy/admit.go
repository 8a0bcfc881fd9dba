package proxy

import (
	"bytes"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/sqltext"
)

// Admit: a statement's fields are read, once, into what the module hears of it. What cannot be used is
// rejected, since it never ran.

// The protocol's fields.
const (
	fieldID       = "i"
	fieldWorkload = "c"
	fieldTimeLeft = "d"
	fieldGroup    = "t"
	fieldResent   = "r"
	fieldWork     = "h"
	fieldMemory   = "heap_mb"
)

const (
	idDigits = 16
	mostTime = 24 * time.Hour // that a client may wait
	mostWork = 24 * 3600e3    // of an estimate, in milliseconds
	noMemory = "no memory left for the statement"
)

// admit makes the record of a statement, or tells why there is none.
func (g *Router) admit(c client, f downstream.Fields, text []byte, taken time.Time) (*statement, decision.StatementArrived, string) {
	var arrived decision.StatementArrived
	id := f[fieldID]
	if len(id) != idDigits || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return nil, arrived, "field i: not 16 hex digits"
	}
	workload, ok := g.workloads[f[fieldWorkload]]
	if !ok {
		return nil, arrived, "field c: unknown workload"
	}
	left, err := strconv.ParseFloat(f[fieldTimeLeft], 64)
	if err != nil || !(left > 0) || left > float64(mostTime.Milliseconds()) {
		return nil, arrived, "field d: not a time in milliseconds"
	}
	group := decision.Tenant(f[fieldGroup])
	if len(g.groups) > 0 && !g.groups[group] {
		return nil, arrived, "field t: unknown member group"
	}
	work, workOK := guess(f, fieldWork, mostWork)
	mem, memOK := guess(f, fieldMemory, g.mostMemory)
	switch {
	case !workOK:
		return nil, arrived, "field h: not a time in milliseconds"
	case !memOK:
		return nil, arrived, "field heap_mb: not an amount that an engine has"
	case f[fieldResent] != "" && f[fieldResent] != "1":
		return nil, arrived, "field r: neither absent nor 1"
	}
	if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 || len(bytes.TrimSpace(text)) == 0 {
		return nil, arrived, "the statement is not a text"
	}
	if !c.ReserveText(len(text)) {
		return nil, arrived, noMemory
	}
	budget := time.Duration(left * float64(time.Millisecond))
	reader := g.readers.Get().(*sqltext.Analyser)
	built := reader.Analyse(text)
	g.readers.Put(reader)
	arrived = decision.StatementArrived{Statement: decision.StatementID(id), Workload: workload, Tenant: group,
		TimeBudget: budget, EstimatedWork: time.Duration(work * float64(time.Millisecond)), EstimatedMemoryMB: mem,
		TableGroup: decision.TableGroup(built.PrimaryGroup()), ClientRetry: f[fieldResent] == "1",
		Writes: g.cfg.Module.Workloads[workload].BulkLoad}
	return &statement{id: arrived.Statement, rules: invariant.NewRequest(arrived.Statement, &g.enforced[workload], g.cfg.Module.Limits), client: c, workload: f[fieldWorkload],
		text:  append([]byte(nil), text...),
		built: &built, taken: taken, ends: taken.Add(budget)}, arrived, ""
}

// guess reads an estimate, which must be above 0 and within reason; absent: 0.
func guess(f downstream.Fields, name string, most float64) (float64, bool) {
	text, stands := f[name]
	if !stands {
		return 0, true
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v > 0 && v <= most
}
