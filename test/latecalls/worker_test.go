package latecalls

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

const (
	pool             = "booking"
	tasksPerWorker   = 4
	taskCPU          = 2000 // thousandths of a core
	taskMemory       = 1000 // MB
	listedAgainAfter = 3 * time.Second
)

// worker is a worker behind a relay: its ID and its address stay over a restart of its
// process. mu guards the fields after it.
type worker struct {
	id      string
	address string
	class   *class
	store   *store
	ledger  *ledger
	record  *record

	mu      sync.Mutex
	random  *rand.Rand
	present *incarnation  // nil: its process is down
	number  int           // of the last incarnation
	up      chan struct{} // closed while present is not nil
	gate    *gate
	server  *http.Server
	cutOff  bool
	losing  bool               // calls may get no answer
	holds   func(c *call) bool // selects calls that get no answer; nil: none
	held    []*call            // selected by holds and not carried out yet
	retired bool               // the play is over
}

func newWorker(id string, class *class, seed uint64, store *store, ledger *ledger, record *record) *worker {
	w := &worker{id: id, class: class, store: store, ledger: ledger, record: record, random: rand.New(rand.NewPCG(seed, 0)), up: make(chan struct{})}
	l := listen()
	w.address = l.Addr().String()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serve(l)
	w.begin()
	return w
}

// join adds the worker to the pool.
func (w *worker) join() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list()
}

// serve serves the calls that arrive at l. The caller holds mu.
func (w *worker) serve(l *net.TCPListener) {
	w.gate = newGate(l)
	w.server = &http.Server{Handler: w}
	gate, server := w.gate, w.server
	go func() { _ = server.Serve(gate) }() // ends when the server is closed
	if w.cutOff {
		w.gate.cut()
	}
}

// Clocks of incarnations, in milliseconds.
const (
	highClock     = 100_000
	highClockSpan = 400_000
	lowClockSpan  = 500
)

// slowestClock is the rate of the slowest clock that a worker may have.
const slowestClock = 0.98

// begin starts the next incarnation. The caller holds mu.
func (w *worker) begin() {
	w.number++
	clock := highClock + w.random.Int64N(highClockSpan)
	if w.number > 1 {
		clock = 1 + w.random.Int64N(lowClockSpan)
	}
	w.present = newIncarnation(w, w.number, clock, slowestClock+w.random.Float64()*(1-slowestClock))
	w.record.note("%s#%d begins, born %d, its clock shows %d ms", w.id, w.number, w.present.startedAt.UnixMilli(), clock)
	close(w.up)
}

// list writes the entry of the present incarnation to the store. The caller holds mu.
func (w *worker) list() {
	w.store.put("servers/"+w.id, fields{
		"service": pool, "address": w.address, "zone": "zone-1", "version": "v1", "slots": tasksPerWorker, "state": "ready", "cold_remaining_ms": 0,
		"capacity": fields{"cpu": tasksPerWorker * taskCPU, "mem_mb": tasksPerWorker * taskMemory, "gpu": 0}, "labels": []string{"a", "rack-1"}, "machine": "m-" + w.id,
		"born": w.present.startedAt.UnixMilli(), "sequence": 1,
	})
	w.record.note("%s#%d is listed", w.id, w.number)
}

// restart ends the process and starts the next one at the same address after downtime. The
// platform lists that one later.
func (w *worker) restart(downtime, listedAfter time.Duration) {
	w.mu.Lock()
	w.record.note("%s#%d crashes", w.id, w.number)
	w.present.crash()
	w.present, w.up = nil, make(chan struct{})
	if !w.class.KeepsConnections {
		_ = w.server.Close() // ends its connections
	}
	w.mu.Unlock()
	time.Sleep(downtime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retired {
		return
	}
	if !w.class.KeepsConnections {
		l, err := net.Listen("tcp", w.address)
		Expect(err).NotTo(HaveOccurred())
		w.serve(l.(*net.TCPListener))
	}
	w.begin()
	number := w.number
	time.AfterFunc(listedAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.number == number && w.present != nil && !w.retired {
			w.list()
		}
	})
}

// setLosing sets whether calls may get no answer from now on.
func (w *worker) setLosing(losing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losing = losing
}

// setCut cuts the worker off from the entries, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff == cut {
		return
	}
	w.cutOff = cut
	w.record.note("%s is cut off: %v", w.id, cut)
	if cut {
		w.gate.cut()
	} else {
		w.gate.heal()
	}
}

// close ends the worker at the end of a play.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired = true
	if w.present != nil {
		w.present.crash()
		w.present = nil
	}
	_ = w.server.Close() // ends its connections
}
