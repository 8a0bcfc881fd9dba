package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

const (
	mostRenewal   = 4 << 10
	proposeWithin = 30 * time.Second
	statusWithin  = time.Second
	comments      = time.Second
	writeWithin   = 5 * time.Second // to a router that takes nothing in
)

// News is an event of the stream of versions.
type VersionEvent struct {
	Lineage   string                 `json:"lineage"`
	Activated uint64                 `json:"settled"`
	Version   *configversion.Version `json:"version,omitempty"` // nil: only what is in force has changed
}

// Status is what a process says of the group.
type Status struct {
	ID                     uint64                    `json:"id"`
	IsLeader               bool                      `json:"leads"` // proven just now
	Leader                 uint64                    `json:"leader"`
	Term                   uint64                    `json:"term"`
	Lineage                string                    `json:"lineage"`
	NewestVersion          uint64                    `json:"newest"`
	Activated              uint64                    `json:"settled"`
	NewestHash             string                    `json:"hash"`
	MaxContradictionMillis int64                     `json:"t_ms"`
	StorageBytes           uint64                    `json:"disk_bytes"`
	Members                map[uint64]replica.Member `json:"members"`
	Sessions               []lease.Session           `json:"sessions"`
	Error                  string                    `json:"error,omitempty"` // why it can't prove that it leads
}

// Change is a change of members that is asked for.
type Change struct {
	MemberID uint64         `json:"id"`
	Member   replica.Member `json:"member"`
	Remove   bool           `json:"remove"`
}

// Versions lists what is kept.
type VersionList struct {
	Lineage   string                   `json:"lineage"`
	Activated uint64                   `json:"settled"`
	Versions  []*configversion.Version `json:"versions"`
}

// client serves routers and operators.
func (v *Server) client() http.Handler {
	mux := http.NewServeMux()
	var streams atomic.Int64
	mux.HandleFunc("GET /v1/versions/events", func(w http.ResponseWriter, r *http.Request) {
		defer streams.Add(-1)
		if streams.Add(1) > mostStreams {
			http.Error(w, "too many streams", http.StatusServiceUnavailable)
			return
		}
		v.stream(w, r)
	})
	mux.HandleFunc("POST /v1/term", v.term)
	mux.HandleFunc("POST /v1/proposals", v.propose)
	mux.HandleFunc("POST /v1/members", v.members)
	mux.HandleFunc("GET /v1/status", v.status)
	mux.HandleFunc("GET /v1/versions", func(w http.ResponseWriter, r *http.Request) {
		view := v.view.Load()
		say(w, http.StatusOK, VersionList{view.Lineage, view.Settled, view.Versions})
	})
	return mux
}

// stream sends versions as they are written, and what is in force; a comment each second.
func (v *Server) stream(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil && r.Header.Get("Last-Event-ID") != "" {
		http.Error(w, "Last-Event-ID: not a number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out, settled := http.NewResponseController(w), uint64(0)
	tick := time.NewTicker(comments)
	defer tick.Stop()
	text := ":\n\n"
	for {
		out.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := io.WriteString(w, text); err != nil || out.Flush() != nil {
			return
		}
		more := v.news.next() // before the look: news that comes behind it wakes
		for text = ""; text == ""; {
			view := v.view.Load()
			for _, x := range view.after(known) {
				known, settled = x.Number, view.Settled
				text += event(x.Number, VersionEvent{view.Lineage, view.Settled, x})
			}
			if view.Settled > settled {
				settled = view.Settled
				text += event(0, VersionEvent{Lineage: view.Lineage, Activated: settled})
			}
			if text != "" {
				break
			}
			select {
			case <-more:
				more = v.news.next()
			case <-tick.C:
				text = ":\n\n"
			case <-r.Context().Done():
				return
			}
		}
	}
}

func event(id uint64, n VersionEvent) string {
	raw, err := json.Marshal(n)
	if err != nil {
		return ":\n\n"
	}
	text := "data: " + string(raw) + "\n\n"
	if id > 0 {
		text = fmt.Sprintf("id: %d\n%s", id, text)
	}
	return text
}

// term answers a renewal.
func (v *Server) term(w http.ResponseWriter, r *http.Request) {
	var renewal lease.Renewal
	if !read(w, r, mostRenewal, &renewal) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), v.settings.LeaseDurations().LeaseDuration)
	defer cancel()
	a, err := v.ask(ctx, func(call uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.RenewalReceived{CallID: call, Renewal: renewal}}
	})
	answer, is := a.(lease.SendReply)
	if err != nil || !is {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	say(w, http.StatusOK, answer.Reply)
}

// propose takes a proposal and answers once it has its outcome.
func (v *Server) propose(w http.ResponseWriter, r *http.Request) {
	var entry configregister.Entry
	if !read(w, r, configversion.MaxEncodedBytes, &entry) {
		return
	}
	v.tell(w, r, func(call uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.ProposalReceived{CallID: call, Entry: entry}}
	})
}

// members takes a change of members.
func (v *Server) members(w http.ResponseWriter, r *http.Request) {
	var c Change
	if !read(w, r, mostRenewal, &c) {
		return
	}
	v.tell(w, r, func(call uint64) replica.Event {
		return replica.MembershipRequest{CallID: call, MemberID: c.MemberID, Member: c.Member, Remove: c.Remove}
	})
}

// tell answers a call that has an outcome.
func (v *Server) tell(w http.ResponseWriter, r *http.Request, event func(uint64) replica.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), proposeWithin)
	defer cancel()
	a, err := v.ask(ctx, event)
	told, is := a.(lease.SendOutcome)
	switch {
	case err != nil || !is:
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
	case told.Outcome.Error == lease.ErrNotLeader.Error():
		say(w, http.StatusMisdirectedRequest, told.Outcome)
	case told.Outcome.Error != "":
		say(w, http.StatusConflict, told.Outcome)
	default:
		say(w, http.StatusOK, told.Outcome)
	}
}

// status tells of the group. Who claims to lead has proven it, so a leader that is cut off does not.
func (v *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusWithin)
	defer cancel()
	proof, err := v.ask(ctx, func(call uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.LeadershipCheckRequested{CallID: call}}
	})
	view := v.view.Load()
	s := Status{ID: v.settings.ID, Leader: view.Leader, Term: view.Term, Lineage: view.Lineage, Activated: view.Settled, MaxContradictionMillis: v.settings.LeaseDurations().MaxContradiction().Milliseconds(),
		StorageBytes: v.disk.Size(), Members: view.Members}
	if n := view.newest(); n != nil {
		s.NewestVersion, s.NewestHash = n.Number, n.Hash
	}
	told, is := proof.(lease.SendOutcome)
	switch {
	case err != nil || !is:
		s.Error = "it can't prove that it leads: " + errors.Join(err).Error()
	case told.Outcome.Error != "":
		s.Error = told.Outcome.Error
	default:
		s.IsLeader, s.Sessions = true, v.sessions(ctx)
	}
	say(w, http.StatusOK, s)
}

// read reads a body of JSON; what is unfit is answered with what is wrong.
func read(w http.ResponseWriter, r *http.Request, most int64, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		err = strict(raw, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func say(w http.ResponseWriter, status int, what any) {
	raw, err := json.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}
