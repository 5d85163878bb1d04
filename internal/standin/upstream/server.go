package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Headers between entries and upstreams.
const (
	headerKey       = "Idempotency-Key"
	headerRequestID = "Persimmonbay-Request-Id"
	headerState     = "Persimmonbay-Upstream-State"
)

// maxEchoBytes bounds the part of a request's body that the response repeats.
const maxEchoBytes = 4 << 10

// Server is a stand-in upstream instance.
type Server struct {
	instance   fleet.Instance
	slots      int
	clock      clockwork.Clock
	faults     *shard.Cell[Faults]
	load       *shard.Cell[Load]
	executions *shard.Map[string, int]
	silencer   *silencer
	downUntil  *shard.Cell[time.Time] // rebooting until then: all requests are aborted
}

// NewServer returns a stand-in without faults. With the fault RefuseOverCap it
// serves at most slots requests at once.
func NewServer(instance fleet.Instance, slots int, clock clockwork.Clock) *Server {
	return &Server{
		instance:   instance,
		slots:      slots,
		clock:      clock,
		faults:     shard.NewCell(Faults{}),
		load:       shard.NewCell(Load{}),
		executions: shard.NewMap[string, int](),
		silencer:   newSilencer(),
		downUntil:  shard.NewCell(time.Time{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.Update(func(Faults) (Faults, bool) { return f, true })
	if f.StallOpenConnections {
		s.silencer.silenceOpen()
	}
}

// Load returns the counts of requests and connections.
func (s *Server) Load() Load { return s.load.Get() }

// Executions returns the number of executions under key.
func (s *Server) Executions(key string) int {
	n, _ := s.executions.Get(key)
	return n
}

// Serve serves on listener until ctx ends, then closes all connections at once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ConnState: s.countConnection}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(s.silencer.listen(listener))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc("/standin/faults", s.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/executions", s.listExecutions).Methods(http.MethodGet)
	r.HandleFunc("/standin/load", s.showLoad).Methods(http.MethodGet)
	r.HandleFunc("/standin/reboot", s.reboot).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// serve serves an ordinary request, with the injected faults.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	atWork := s.begin()
	defer s.end()
	s.abortWhenDown()
	if f.RefuseOverCap && atWork > s.slots {
		http.Error(w, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	reply := s.execute(r, body, f)
	if f.SlowMillis > 0 {
		<-s.clock.After(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	s.abortWhenDown()
	s.reply(w, reply, f)
}

// execute counts the execution under the request's key and returns the reply.
func (s *Server) execute(r *http.Request, body []byte, f Faults) Reply {
	key := r.Header.Get(headerKey)
	reply := Reply{Instance: s.instance.ID, Service: s.instance.Service, Method: r.Method, Path: r.URL.Path, Key: key,
		RequestID: r.Header.Get(headerRequestID), Body: string(body[:min(len(body), maxEchoBytes)]), Padding: strings.Repeat("x", f.BodyBytes)}
	if key != "" && !f.FailAll {
		s.executions.Update(key, func(n int, _ bool) (int, bool) { reply.Execution = n + 1; return n + 1, true })
	}
	return reply
}

func (s *Server) reply(w http.ResponseWriter, reply Reply, f Faults) {
	encoded, _ := json.Marshal(reply) // cannot fail on strings and integers
	encoded = append(encoded, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if f.Leaving {
		w.Header().Set(headerState, string(fleet.Leaving))
	}
	if f.FailAll {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if !f.DieMidBody {
		_, _ = w.Write(encoded) // a failed write breaks the connection
		return
	}
	_, _ = w.Write(encoded[:len(encoded)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// begin counts a new request and returns the number of requests in progress.
func (s *Server) begin() (atWork int) {
	s.load.Update(func(l Load) (Load, bool) {
		l.Requests++
		l.InFlight++
		l.MaxInFlight = max(l.MaxInFlight, l.InFlight)
		atWork = l.InFlight
		return l, true
	})
	return atWork
}

func (s *Server) end() {
	s.load.Update(func(l Load) (Load, bool) { l.InFlight--; return l, true })
}

func (s *Server) countConnection(_ net.Conn, state http.ConnState) {
	change := 0
	switch state {
	case http.StateNew:
		change = 1
	case http.StateClosed, http.StateHijacked:
		change = -1
	}
	s.load.Update(func(l Load) (Load, bool) {
		l.Connections += change
		l.MostConnections = max(l.MostConnections, l.Connections)
		return l, change != 0
	})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	all := []Execution{}
	s.executions.Range(func(key string, n int) bool {
		all = append(all, Execution{Key: key, Count: n})
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	_ = json.NewEncoder(w).Encode(all)
}

func (s *Server) showLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.load.Get())
}
