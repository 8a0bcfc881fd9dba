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

// discardLog drops the log output of libraries about connections and elections, which this process reports in its own events.
var discardLog = log.New(io.Discard, "", 0)

// clientHandler serves routers and operators.
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

// peerHandler serves the other processes of the group.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+controlapi.PeerMessagesPath, s.handlePeerMessages)
	return mux
}

// serveHTTP serves until ctx ends, then shuts down gracefully for up to shutdownTimeout.
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

// readJSON reads the body of a request, which may have up to maxBytes. A field that is not known is an error, as is anything
// behind the value.
func readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, into any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return err
	}
	return decodeStrict(raw, into)
}

// publishedNames are the names of types in the texts of decoding errors, which go over HTTP and to standard error.
var publishedNames = strings.NewReplacer(
	"configregister.Entry", "agree.Entry",
	"lease.Renewal", "agree.Renewal",
	"controlapi.MembershipChange", "control.Change",
	"field MembershipChange.", "field Change.",
	"controlserver.", "control.",
	"controlclient.Config", "steer.File", // a control file as it is written for routers
	"field Config.", "field File.",
)

// decodeStrict decodes one JSON value. A field that is not known is an error, as is anything behind the value.
func decodeStrict(raw []byte, into any) error {
	return jsonerror.WithPublishedNames(strictjson.Decode(raw, into), publishedNames)
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
