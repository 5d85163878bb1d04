package front

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/telemetry"
)

// Server converts callers' HTTP requests and passes them on to Requests.
type Server struct {
	requests  Requests
	metrics   *telemetry.Metrics
	clock     clockwork.Clock
	bodyBytes int64
	log       *zap.Logger
}

// NewServer returns a server that passes callers' requests to requests. It refuses
// bodies larger than bodyBytes.
func NewServer(requests Requests, metrics *telemetry.Metrics, clock clockwork.Clock, bodyBytes int64, log *zap.Logger) *Server {
	return &Server{requests: requests, metrics: metrics, clock: clock, bodyBytes: bodyBytes, log: log}
}

// Handler returns the HTTP handler for the callers' listener.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.SkipClean(true)
	r.HandleFunc("/{service}", s.serve)
	r.HandleFunc("/{service}/{path:.*}", s.serve)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	return r
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := s.clock.Now()
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	in, err := parse(r, mux.Vars(r)["service"], start, s.bodyBytes)
	if err != nil {
		s.refuse(w, id, parseOutcome(r), err)
		return
	}
	in.ID = id
	result := s.requests.Serve(r.Context(), in)
	s.metrics.Record(in.Team, in.Class, result.Outcome, telemetry.MeasureTotal, s.clock.Now().Sub(start))
	if result.Err != nil {
		s.refuse(w, id, result.Outcome, result.Err)
		return
	}
	writeResult(w, result)
}

// parseOutcome returns the outcome of a request that cannot be parsed. A request
// with a well-formed key may have run or may still run, even when the key has
// expired or lies in the future. A malformed key is refused by every entry at any
// time.
func parseOutcome(r *http.Request) fleet.Outcome {
	if request.WellFormedKey(r.Header.Get(headerKey)) {
		return fleet.Unknown
	}
	return fleet.NotRun
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	s.refuse(w, id, parseOutcome(r), problem.New(problem.NotFound, problem.StepParse, "", "expected a path of the form /{service}/{path}"))
}

func (s *Server) refuse(w http.ResponseWriter, id string, outcome fleet.Outcome, err error) {
	s.log.Info("request refused", append(telemetry.ProblemFields(err), zap.String("requestId", id), zap.String("outcome", string(outcome)))...)
	writeProblem(w, outcome, err)
}
