package proxy

import (
	"maps"
	"slices"

	"bankledge/decision"
)

// openStreams holds the unfinished requests of one client by stream.
type openStreams map[uint32]*request

// requestTable indexes the records of requests. The event loop owns it.
type requestTable struct {
	byID     map[decision.StatementID]*request // all requests whose record is kept
	byClient map[client]openStreams            // the unfinished ones among them
	finished recentIDs
}

func newRequestTable(answeredIDs int) requestTable {
	return requestTable{
		byID:     map[decision.StatementID]*request{},
		byClient: map[client]openStreams{},
		finished: recentIDs{generationSize: answeredIDs / 2},
	}
}

// find returns the record of a request, or nil.
func (t *requestTable) find(id decision.StatementID) *request { return t.byID[id] }

// onStream returns the request that is open on a client's stream, or nil.
func (t *requestTable) onStream(c client, stream uint32) *request { return t.byClient[c][stream] }

// isIDInUse reports whether an engine may hold another request with this id.
func (t *requestTable) isIDInUse(id decision.StatementID) bool {
	return t.byID[id] != nil || t.finished.has(id)
}

func (t *requestTable) add(req *request) {
	t.byID[req.id] = req
	streams := t.byClient[req.client]
	if streams == nil {
		streams = openStreams{}
		t.byClient[req.client] = streams
	}
	streams[req.stream] = req
}

// rememberID remembers the id of a request that was answered or may have run.
func (t *requestTable) rememberID(req *request) {
	if t.byID[req.id] == req {
		t.finished.add(req.id)
	}
}

// removeStream removes a finished request from the open streams of its client.
func (t *requestTable) removeStream(req *request) {
	streams := t.byClient[req.client]
	if streams[req.stream] != req {
		return
	}
	delete(streams, req.stream)
	if len(streams) == 0 {
		delete(t.byClient, req.client)
	}
}

// remove removes the record of a request. It does nothing for a request that was rejected because another one has the same id.
func (t *requestTable) remove(req *request) {
	if t.byID[req.id] == req {
		delete(t.byID, req.id)
	}
}

// openRequestIDs returns the ids of a client's open requests, ordered by stream.
func (t *requestTable) openRequestIDs(c client) (ids []decision.StatementID) {
	streams := t.byClient[c]
	for _, stream := range slices.Sorted(maps.Keys(streams)) {
		ids = append(ids, streams[stream].id)
	}
	return ids
}

// recentIDs remembers the ids of the most recent requests that were answered or may have run: a statement must not run again under its id,
// and an engine may still hold the result and would return it for another request with the same id. When the newer of the two generations is full, the older one is discarded.
type recentIDs struct {
	generationSize int
	newer, older   map[decision.StatementID]struct{}
}

func (r *recentIDs) add(id decision.StatementID) {
	if r.newer == nil || len(r.newer) >= r.generationSize {
		r.older = r.newer
		r.newer = make(map[decision.StatementID]struct{}, r.generationSize)
	}
	r.newer[id] = struct{}{}
}

func (r *recentIDs) has(id decision.StatementID) bool {
	if _, found := r.newer[id]; found {
		return true
	}
	_, found := r.older[id]
	return found
}
