package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
)

// Server serves the platform's HTTP protocol over a Store and a list of
// instances, and the control of the stand-in itself under /standin/.
type Server struct {
	Store     *Store
	Instances *Instances
	Reboots   *Reboots
	Tasks     *Tasks
	faults    *shard.Cell[Faults]
	injector  *injector
	meter     *meter
}

// NewServer returns a platform without instances, keys or faults.
func NewServer(clock clockwork.Clock) *Server {
	faults := shard.NewCell(Faults{})
	instances := NewInstances(clock)
	return &Server{
		Store:     NewStore(clock),
		Instances: instances,
		Reboots:   newReboots(clock, instances, faults),
		Tasks:     NewTasks(clock, instances, dialWorker),
		faults:    faults,
		injector:  newInjector(faults, clock),
		meter:     newMeter(clock),
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.Update(func(Faults) (Faults, bool) { return f, true })
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.SkipClean(true)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.Use(s.meter.wrap, s.injector.wrap)
	v1.HandleFunc("/kv", s.list).Methods(http.MethodGet).Queries("prefix", "{prefix}")
	v1.HandleFunc("/kv/{key:.+}", s.get).Methods(http.MethodGet)
	v1.HandleFunc("/kv/{key:.+}", s.put).Methods(http.MethodPut)
	v1.HandleFunc("/kv/{key:.+}", s.delete).Methods(http.MethodDelete)
	v1.HandleFunc("/watch", s.watch).Methods(http.MethodGet)
	v1.HandleFunc("/leases", s.grant).Methods(http.MethodPost)
	v1.HandleFunc("/leases/{id}/renew", s.renew).Methods(http.MethodPost)
	v1.HandleFunc("/leases/{id}", s.revoke).Methods(http.MethodDelete)
	v1.HandleFunc("/instances", s.instances).Methods(http.MethodGet)
	v1.HandleFunc("/instances/{id}/reboot", s.reboot).Methods(http.MethodPost)
	s.taskRoutes(v1)
	r.HandleFunc("/standin/faults", s.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/rates", s.putRates).Methods(http.MethodPut)
	r.HandleFunc("/standin/calls", s.getCalls).Methods(http.MethodGet)
	r.HandleFunc("/standin/reboots", s.reboots).Methods(http.MethodGet)
	r.HandleFunc("/standin/instances/{id}", s.putInstance).Methods(http.MethodPut)
	r.HandleFunc("/standin/instances/{id}", s.removeInstance).Methods(http.MethodDelete)
	return r
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kv, err := s.Store.Get(r.Context(), keyOf(r))
	respond(w, kv, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	listing, err := s.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	respond(w, listing, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var request api.PutRequest
	if !decode(w, r, &request) {
		return
	}
	condition := platform.Any()
	if request.IfVersion != nil {
		condition = platform.IfVersion(*request.IfVersion)
	}
	version, err := s.Store.Put(r.Context(), keyOf(r), request.Value, condition, platform.LeaseID(request.Lease))
	if problem.Is(err, problem.Conflict) {
		write(w, http.StatusConflict, api.ErrorResponse{Error: err.Error(), Version: version})
		return
	}
	respond(w, api.PutResponse{Version: version, Revision: version}, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	condition := platform.Any()
	if text := r.URL.Query().Get("ifVersion"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			write(w, http.StatusBadRequest, api.ErrorResponse{Error: "ifVersion: " + err.Error()})
			return
		}
		condition = platform.IfVersion(version)
	}
	respond(w, struct{}{}, s.Store.Delete(r.Context(), keyOf(r), condition))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	if errAfter != nil || errWait != nil {
		write(w, http.StatusBadRequest, api.ErrorResponse{Error: "after and waitMillis must be integers"})
		return
	}
	changes, err := s.Store.Watch(r.Context(), query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	respond(w, changes, err)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request api.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	id, err := s.Store.Grant(r.Context(), time.Duration(request.TTLMillis)*time.Millisecond)
	respond(w, api.LeaseResponse{ID: string(id)}, err)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.Store.Renew(r.Context(), platform.LeaseID(mux.Vars(r)["id"])))
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.Store.Revoke(r.Context(), platform.LeaseID(mux.Vars(r)["id"])))
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	list := s.Instances.List(time.Duration(faults.LagMillis) * time.Millisecond)
	if faults.NoTags {
		writeCompressed(w, r, list)
		return
	}
	writeTagged(w, r, list)
}

// keyOf returns the key in the path, slashes included.
func keyOf(r *http.Request) string { return r.URL.Path[len("/v1/kv/"):] }

// decode reads the JSON body into target. On an error it responds with 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*maxValueBytes))
	if err == nil {
		err = json.Unmarshal(body, target)
	}
	if err != nil {
		write(w, http.StatusBadRequest, api.ErrorResponse{Error: err.Error()})
	}
	return err == nil
}

// respond writes body with status 200, or err with the status of its kind.
func respond(w http.ResponseWriter, body any, err error) {
	if err == nil {
		write(w, http.StatusOK, body)
		return
	}
	write(w, statusOf(problem.KindOf(err)), api.ErrorResponse{Error: err.Error()})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write breaks the connection
}

func statusOf(kind problem.Kind) int {
	switch kind {
	case problem.NotFound:
		return http.StatusNotFound
	case problem.Conflict:
		return http.StatusConflict
	case problem.Compacted:
		return http.StatusGone
	case problem.Invalid:
		return http.StatusBadRequest
	case problem.Unavailable, problem.Timeout, problem.Interrupted:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
