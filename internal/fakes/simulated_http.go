package fakes

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	pollTimeout = 250 * time.Millisecond // how long a poll waits for the result
	resultRow   = "0123456789abcdef\t0123456789abcdef\t0123456789abcdef01234567\n"
	rowsPerPage = 100
	shortResult = "a\tb\tc\n"
)

// ServeHTTP answers one call: the start of a statement, a poll, a cancellation, a request for a page, or a health check.
func (e *SimulatedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body) // an incomplete text is used as well
	parts := strings.Split(r.URL.Path, "/")
	switch {
	case r.Method == http.MethodPost:
		x := e.start(r.Header.Get("X-Txn"), r.Header.Get("X-Lane"), string(text), r.RemoteAddr)
		e.poll(w, x)
	case len(parts) > 2 && r.Method == http.MethodDelete:
		e.cancel(parts[2], r.RemoteAddr)
		w.WriteHeader(http.StatusNoContent)
	case len(parts) > 2 && parts[1] == "x":
		x := e.execution(parts[2])
		if x != nil && len(parts) > 3 && parts[3] != "0" {
			writePage(w, x, parts[3])
			return
		}
		e.poll(w, x)
	default:
		e.notify(EngineEvent{Kind: HealthChecked, Peer: r.RemoteAddr})
		w.Header().Set("X-Gauges", e.gauges())
	}
}

// start starts a statement.
func (e *SimulatedEngine) start(id, workload, text, peer string) *execution {
	work, threads := e.cost(workload, text)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyElapsedWork()
	rows := 0
	if e.Rows != nil {
		rows = e.Rows(workload)
	}
	e.notify(EngineEvent{Kind: AttemptStarted, ID: id, Workload: workload, Peer: peer, Work: work, ColdLoad: e.addColdWork(work)})
	x := &execution{
		workload:  workload,
		totalWork: max(work.Seconds(), minWork),
		remaining: work.Seconds(),
		threads:   float64(threads),
		rows:      rows,
		failing:   e.failing,
		polledAt:  e.lastUpdate,
		done:      make(chan struct{}),
	}
	if x.failing {
		x.remaining = 0
	}
	e.executions[id] = x
	e.advance()
	return x
}

// cancel ends a statement. It does nothing if the statement is unknown.
func (e *SimulatedEngine) cancel(id, peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyElapsedWork()
	if x := e.executions[id]; x != nil {
		if !x.ended {
			e.notify(EngineEvent{Kind: AttemptCancelled, ID: id, Workload: x.workload, Peer: peer})
		}
		x.ended = true
		delete(e.executions, id)
	}
	e.advance()
}

// execution returns the execution of a statement, or nil if the statement is unknown.
func (e *SimulatedEngine) execution(id string) *execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[id]
}

// poll waits for the result up to pollTimeout, and answers with the first page or with the status that there is no result yet.
func (e *SimulatedEngine) poll(w http.ResponseWriter, x *execution) {
	if x == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.beginPoll(x)
	defer e.endPoll(x)
	select {
	case <-x.done:
		e.writeResult(w, x)
	case <-time.After(pollTimeout):
		e.writeProgress(w, x)
	}
}

func (e *SimulatedEngine) beginPoll(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.polls++
}

func (e *SimulatedEngine) endPoll(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.polls--
	e.applyElapsedWork()
	x.polledAt = e.lastUpdate
	e.advance()
}

func (e *SimulatedEngine) writeResult(w http.ResponseWriter, x *execution) {
	if x.failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, pages := x.page(0)
	w.Header().Set("X-Batches", strconv.Itoa(pages))
	w.Header().Set("X-Gauges", e.gauges())
	io.WriteString(w, body)
}

func (e *SimulatedEngine) writeProgress(w http.ResponseWriter, x *execution) {
	w.Header().Set("X-Gauges", e.gauges())
	if e.ReportProgress {
		w.Header().Set("X-How", "done")
		w.Header().Set("X-Num", strconv.FormatFloat(e.progress(x), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusAccepted)
}

// progress returns the share of the work that is done.
func (e *SimulatedEngine) progress(x *execution) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyElapsedWork()
	return max(0, 1-x.remaining/x.totalWork)
}

func writePage(w http.ResponseWriter, x *execution, number string) {
	n, _ := strconv.Atoi(number) // an invalid number means the first page
	body, _ := x.page(n)
	w.Header().Set("X-Batch", number)
	io.WriteString(w, body)
}

// page returns a page of the result and the number of pages.
func (x *execution) page(n int) (body string, pages int) {
	if x.rows == 0 {
		return shortResult, 1
	}
	rows := min(rowsPerPage, max(0, x.rows-n*rowsPerPage))
	return strings.Repeat(resultRow, rows), (x.rows + rowsPerPage - 1) / rowsPerPage
}

// gauges returns the load report of the engine.
func (e *SimulatedEngine) gauges() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, threads := e.running()
	utilisation := min(1, threads/e.Cores)
	return fmt.Sprintf("inflight:%d;util:%s", running, strconv.FormatFloat(utilisation, 'f', 2, 64))
}
