package proxy

import (
	"maps"
	"slices"

	"bankledge/decision"
)

// openStreams are the requests of one client that are not finished, by stream.
type openStreams map[uint32]*request

// requestTable finds the records of requests. The event loop owns it.
type requestTable struct {
	byID     map[decision.StatementID]*request // those whose record is not dropped yet
	byClient map[client]openStreams            // of these the ones that are not finished
	answered recentIDs
}

func newRequestTable(answeredIDs int) requestTable {
	return requestTable{
		byID:     map[decision.StatementID]*request{},
		byClient: map[client]openStreams{},
		answered: recentIDs{generationSize: answeredIDs / 2},
	}
}

// find returns the record of a request, or nil.
func (t *requestTable) find(id decision.StatementID) *request { return t.byID[id] }

// onStream returns the request that is open on a client's stream, or nil.
func (t *requestTable) onStream(c client, stream uint32) *request { return t.byClient[c][stream] }

// isIDInUse reports whether an engine may know the id as another request's.
func (t *requestTable) isIDInUse(id decision.StatementID) bool {
	return t.byID[id] != nil || t.answered.has(id)
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

// recordAnswer remembers the id of a request that is answered.
func (t *requestTable) recordAnswer(req *request) {
	if t.byID[req.id] == req {
		t.answered.add(req.id)
	}
}

// removeStream drops a request that is finished from those that its client has open.
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

// remove drops the record of a request. Another request that was rejected for having the same id leaves the record alone.
func (t *requestTable) remove(req *request) {
	if t.byID[req.id] == req {
		delete(t.byID, req.id)
	}
}

// openOf returns what a client has open, in the order of its streams.
func (t *requestTable) openOf(c client) (ids []decision.StatementID) {
	streams := t.byClient[c]
	for _, stream := range slices.Sorted(maps.Keys(streams)) {
		ids = append(ids, streams[stream].id)
	}
	return ids
}

// recentIDs remembers the latest ids of requests that were answered: an engine may still hold their results, and would return them
// for another request of the same id. Of the two generations the older one is forgotten when the newer one is full.
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
