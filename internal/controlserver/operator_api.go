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
	outcomeTimeout     = 30 * time.Second // a proposal may wait until the version before it is in force
	statusTimeout      = time.Second
)

// handleProposal answers a proposal with its outcome, once that is known.
func (s *Server) handleProposal(w http.ResponseWriter, r *http.Request) {
	var entry configregister.Entry
	if err := readJSON(w, r, configversion.MaxEncodedBytes, &entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answerWithOutcome(w, r, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.ProposalReceived{CallID: callID, Entry: entry}}
	})
}

// handleMembershipChange answers a membership change with its outcome, once that is known.
func (s *Server) handleMembershipChange(w http.ResponseWriter, r *http.Request) {
	var change controlapi.MembershipChange
	if err := readJSON(w, r, maxMembershipBytes, &change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answerWithOutcome(w, r, func(callID uint64) replica.Event {
		return replica.MembershipRequest{CallID: callID, MemberID: change.MemberID, Member: replica.Member(change.Member), Remove: change.Remove}
	})
}

// answerWithOutcome hands the replica an event and answers with its outcome.
func (s *Server) answerWithOutcome(w http.ResponseWriter, r *http.Request, newEvent func(callID uint64) replica.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	answer, err := s.mailbox.call(ctx, newEvent)
	result, ok := answer.(lease.SendOutcome)
	if err != nil || !ok {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, outcomeStatus(result.Outcome), result.Outcome)
}

// outcomeStatus is the HTTP status of an outcome. Outcomes are stored in the replicated state, with their error as a text.
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

// handleStatus answers with the state of the group. A process reports itself as the leader only once a quorum has confirmed it, so an
// isolated leader does not.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	answer, err := s.mailbox.call(ctx, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.LeadershipCheckRequested{CallID: callID}}
	})
	status := s.localStatus()
	confirmation, ok := answer.(lease.SendOutcome)
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

// localStatus is what this process knows without asking another one.
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
