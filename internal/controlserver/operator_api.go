package controlserver

import (
	"context"
	"net/http"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/controlapi"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

const (
	maxMembershipBytes = 4 << 10
	outcomeTimeout     = 30 * time.Second // a proposal may wait until the previous version is in force
	statusTimeout      = time.Second
)

// handleProposal submits a proposal and responds with its outcome once that is known.
func (s *Server) handleProposal(w http.ResponseWriter, r *http.Request) {
	var entry configregister.Entry
	if err := readJSON(w, r, configversion.MaxEncodedBytes, &entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respondWithOutcome(w, r, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.ProposalReceived{CallID: callID, Entry: entry}}
	})
}

// handleMembershipChange submits a membership change and responds with its outcome once that is known.
func (s *Server) handleMembershipChange(w http.ResponseWriter, r *http.Request) {
	var change controlapi.MembershipChange
	if err := readJSON(w, r, maxMembershipBytes, &change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respondWithOutcome(w, r, func(callID uint64) replica.Event {
		return replica.MembershipRequest{CallID: callID, MemberID: change.MemberID, Member: replica.Member(change.Member), Remove: change.Remove}
	})
}

// respondWithOutcome sends the replica an event and responds with its outcome, or with 503 if there is none within outcomeTimeout.
func (s *Server) respondWithOutcome(w http.ResponseWriter, r *http.Request, newEvent func(callID uint64) replica.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	action, err := s.mailbox.call(ctx, newEvent)
	result, ok := action.(lease.SendOutcome)
	if err != nil || !ok {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, outcomeStatus(result.Outcome), result.Outcome)
}

// outcomeStatus returns the HTTP status of an outcome. It compares error texts because the replicated state stores an outcome's error as
// text.
func outcomeStatus(outcome configregister.Outcome) int {
	switch outcome.Error {
	case "":
		return http.StatusOK
	case lease.ErrNotLeader.Error():
		return http.StatusMisdirectedRequest
	default:
		return http.StatusConflict
	}
}

func (s *Server) handleVersions(w http.ResponseWriter, _ *http.Request) {
	view := s.state.load()
	writeJSON(w, http.StatusOK, controlapi.VersionList{Lineage: view.register.Lineage, Activated: view.register.Activated, Versions: view.register.Versions})
}

// handleStatus responds with the state of the group. A process reports itself as the leader only after a quorum has confirmed its
// leadership for this request, so a leader that is isolated from the group does not.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	action, err := s.mailbox.call(ctx, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.LeadershipCheckRequested{CallID: callID}}
	})
	status := s.localStatus()
	confirmation, ok := action.(lease.SendOutcome)
	switch {
	case err != nil || !ok:
		status.Error = "it can't prove that it leads: " + errBusy.Error()
	case confirmation.Outcome.Error != "":
		status.Error = confirmation.Outcome.Error
	default:
		status.IsLeader = true
		status.Sessions = s.mailbox.sessions(ctx)
	}
	writeJSON(w, http.StatusOK, status)
}

// localStatus returns what this process knows without contacting another one.
func (s *Server) localStatus() controlapi.Status {
	view := s.state.load()
	status := controlapi.Status{
		ID:                     s.settings.ID,
		Leader:                 view.leader,
		Term:                   view.term,
		Lineage:                view.register.Lineage,
		Activated:              view.register.Activated,
		MaxContradictionMillis: s.durations.MaxContradiction().Milliseconds(),
		StorageBytes:           s.storage.Size(),
		Members:                view.members,
	}
	if newest := view.register.Newest(); newest != nil {
		status.NewestVersion = newest.Number
		status.NewestHash = newest.Hash
	}
	return status
}
