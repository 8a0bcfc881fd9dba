package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bankledge/internal/controlapi"
	"bankledge/internal/jsonerror"
	"bankledge/internal/strictjson"
)

const (
	shutdownTimeout   = time.Second
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// discardLog discards the log output of net/http and the raft library; this process logs elections and failures as events of its own.
var discardLog = log.New(io.Discard, "", 0)

// clientHandler handles the requests of routers and operators.
func (s *Server) clientHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+controlapi.VersionStreamPath, s.handleVersionStream)
	mux.HandleFunc("POST "+controlapi.RenewalPath, s.handleRenewal)
	mux.HandleFunc("POST "+controlapi.ProposalsPath, s.handleProposal)
	mux.HandleFunc("POST "+controlapi.MembersPath, s.handleMembershipChange)
	mux.HandleFunc("GET "+controlapi.StatusPath, s.handleStatus)
	mux.HandleFunc("GET "+controlapi.VersionsPath, s.handleVersions)
	return mux
}

// peerHandler handles the requests of the other processes of the group.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+controlapi.PeerMessagesPath, s.handlePeerMessages)
	return mux
}

// serveHTTP serves until ctx is cancelled, then shuts down gracefully and closes the remaining connections after shutdownTimeout.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { shutDown(server) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// readJSON decodes the body of a request, of at most maxBytes, into target. Unknown fields and trailing data are errors.
func readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return err
	}
	return decodeStrict(raw, target)
}

// publishedNames replaces Go type names in the texts of decoding errors, which HTTP responses and standard error contain, by names that
// stay the same when the types are renamed.
var publishedNames = strings.NewReplacer(
	"configregister.Entry", "agree.Entry",
	"lease.Renewal", "agree.Renewal",
	"controlapi.MembershipChange", "control.Change",
	"field MembershipChange.", "field Change.",
	"controlserver.", "control.",
	"controlclient.Config", "steer.File", // type of a router's control file
	"field Config.", "field File.",
)

// decodeStrict decodes exactly one JSON value into target. Unknown fields and trailing data are errors.
func decodeStrict(raw []byte, target any) error {
	return jsonerror.WithPublishedNames(strictjson.Decode(raw, target), publishedNames)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}
