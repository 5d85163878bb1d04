package operator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// maxBodyBytes is the largest request body that is accepted.
const maxBodyBytes = 2 << 20

// bearerPrefix is the part of the Authorization header before the token.
const bearerPrefix = "Bearer "

// Server serves the operators' HTTP API. Requests other than GET require the
// token.
type Server struct {
	backend Backend
	metrics *telemetry.Metrics
	token   string
	log     *zap.Logger
}

// NewServer returns a server for backend. With an empty token it refuses all
// changes.
func NewServer(backend Backend, metrics *telemetry.Metrics, token string, log *zap.Logger) *Server {
	return &Server{backend: backend, metrics: metrics, token: token, log: log}
}

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(s.authorize)
	r.HandleFunc("/-/healthz", s.healthz).Methods(http.MethodGet)
	r.HandleFunc("/-/readyz", s.readyz).Methods(http.MethodGet)
	r.Handle("/debug/vars", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	s.fleetRoutes(r)
	r.HandleFunc("/v1/configuration", s.configuration).Methods(http.MethodGet)
	r.HandleFunc("/v1/configuration", s.apply).Methods(http.MethodPut)
	r.HandleFunc("/v1/configuration/history", s.history).Methods(http.MethodGet)
	s.ledgerRoutes(r)
	s.jobRoutes(r)
	return r
}

// authorize refuses and logs changes without the token before their body is
// read.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || s.hasToken(r) {
			next.ServeHTTP(w, r)
			return
		}
		s.log.Warn("change refused", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", r.RemoteAddr), zap.String("path", r.URL.Path))
		s.writeError(w, problem.New(problem.Unauthorized, problem.StepAuthorize, "", "a change requires the operator token; pass -token or set PERSIMMONBAY_TOKEN"))
	})
}

func (s *Server) hasToken(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return ok && s.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) == 1
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.backend.Ready(); err != nil {
		s.writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Status()) }

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request) {
	v := s.backend.InForce()
	writeJSON(w, message.Configuration{Version: v.Version, Source: v.Source})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var in message.ApplyRequest
	if !s.decode(w, r, &in) {
		return
	}
	version, err := s.backend.Apply(r.Context(), in.Operator, in.Base, in.Source)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, message.ApplyResponse{Version: version})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	history, err := s.backend.History(r.Context())
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, history)
}

// decode decodes the JSON body of r into target. When it cannot, it responds with
// the error and returns false.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		s.writeError(w, problem.New(problem.TooLarge, problem.StepParse, r.RemoteAddr, fmt.Sprintf("the body of a change must not exceed %d bytes", large.Limit)))
	case err != nil:
		s.writeError(w, problem.Wrap(problem.Invalid, problem.StepParse, r.RemoteAddr, err))
	}
	return err == nil
}

// writeError responds with err as a message.ErrorResponse.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	out := message.ErrorResponse{Kind: string(problem.KindOf(err)), Error: err.Error()}
	var p *problem.Error
	if errors.As(err, &p) {
		out.Step, out.Peer, out.Error = string(p.Step), p.Peer, p.Reason()
	}
	var findings problem.Findings
	if errors.As(err, &findings) {
		out.Kind, out.Step, out.Findings = string(problem.Invalid), string(problem.StepConfiguration), findings
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(problem.Kind(out.Kind)))
	_ = json.NewEncoder(w).Encode(out) // when the write fails, the client sees a broken connection
}

func httpStatus(kind problem.Kind) int {
	switch kind {
	case problem.Invalid:
		return http.StatusBadRequest
	case problem.Unauthorized:
		return http.StatusUnauthorized
	case problem.NotFound:
		return http.StatusNotFound
	case problem.Conflict:
		return http.StatusConflict
	case problem.TooLarge:
		return http.StatusRequestEntityTooLarge
	case problem.Unavailable:
		return http.StatusServiceUnavailable
	case problem.Interrupted, problem.Timeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // when the write fails, the client sees a broken connection
}
