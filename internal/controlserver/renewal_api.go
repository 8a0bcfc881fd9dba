package controlserver

import (
	"context"
	"net/http"

	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

const maxRenewalBytes = 4 << 10

// handleRenewal passes a router's lease renewal to the replica and responds with the reply.
func (s *Server) handleRenewal(w http.ResponseWriter, r *http.Request) {
	var renewal lease.Renewal
	if err := readJSON(w, r, maxRenewalBytes, &renewal); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.durations.LeaseDuration) // a lease granted later would already have expired
	defer cancel()
	action, err := s.mailbox.call(ctx, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.RenewalReceived{CallID: callID, Renewal: renewal}}
	})
	reply, ok := action.(lease.SendReply)
	if err != nil || !ok {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, reply.Reply)
}
