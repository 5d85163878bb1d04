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

// maxBodyBytes bounds a change that an operator sends.
const maxBodyBytes = 2 << 20

// bearer begins the Authorization header's value.
const bearer = "Bearer "

// Server is the operators' HTTP face. Changes demand the token.
type Server struct {
	backend Backend
	metrics *telemetry.Metrics
	token   string
	log     *zap.Logger
}

// NewServer returns a face of backend.
func NewServer(backend Backend, metrics *telemetry.Metrics, token string, log *zap.Logger) *Server {
	return &Server{backend: backend, metrics: metrics, token: token, log: log}
}

// Handler returns the HTTP handler of the operators' address.
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
	s.routeLedger(r)
	s.jobRoutes(r)
	return r
}

// authorize refuses and logs changes without the token.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || s.holdsToken(r) {
			next.ServeHTTP(w, r)
			return
		}
		s.log.Warn("change refused", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", r.RemoteAddr), zap.String("path", r.URL.Path))
		s.fail(w, problem.New(problem.Unauthorized, problem.StepAuthorize, "", "a change demands the operator token; pass -token or set PERSIMMONBAY_TOKEN"))
	})
}

func (s *Server) holdsToken(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	return ok && s.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) == 1
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.backend.Ready(); err != nil {
		s.fail(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { respond(w, s.backend.Status()) }

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request) {
	v := s.backend.InForce()
	respond(w, message.Configuration{Version: v.Version, Source: v.Source})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var in message.ApplyRequest
	if !s.decode(w, r, &in) {
		return
	}
	version, err := s.backend.Apply(r.Context(), in.Operator, in.Base, in.Source)
	if err != nil {
		s.fail(w, err)
		return
	}
	respond(w, message.ApplyResponse{Version: version})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	history, err := s.backend.History(r.Context())
	if err != nil {
		s.fail(w, err)
		return
	}
	respond(w, history)
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		s.fail(w, problem.New(problem.TooLarge, problem.StepParse, r.RemoteAddr, fmt.Sprintf("a change may have %d bytes at most", large.Limit)))
	case err != nil:
		s.fail(w, problem.Wrap(problem.Invalid, problem.StepParse, r.RemoteAddr, err))
	}
	return err == nil
}

func (s *Server) fail(w http.ResponseWriter, err error) {
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
	w.WriteHeader(statusOf(problem.Kind(out.Kind)))
	_ = json.NewEncoder(w).Encode(out) // a lost operator sees a broken connection
}

func statusOf(kind problem.Kind) int {
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

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a lost operator sees a broken connection
}
