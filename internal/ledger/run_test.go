package ledger_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
	standin "persimmonbay/internal/standin/platform"
)

// Sizes of a run.
const (
	runEntries = 4
	runCallers = 12
	runKeys    = 16              // per caller
	settleTime = 2 * time.Minute // outcomes and withdrawals are retried for one minute
	runTeam    = "herders"
	runService = "transfers"

	manySmallBatches = 2 * time.Millisecond // short enough for rings to fill and fold
)

// run consists of several entries on one store and of callers that repeat their
// keys through several entries. mu guards results.
type run struct {
	seed       uint64
	interval   time.Duration // between two writes to a shard
	faults     *faults
	shed, fail float64
	wrap       func(request.Ledger) request.Ledger // replaces an entry's ledger; may be nil
	entries    []string
	servers    map[string]*request.Server
	ledgers    map[string]*ledger.Ledger
	store      *standin.Store
	executions *shard.Map[request.Key, int]
	mu         sync.Mutex
	results    []callerResult
}

func newRun(seed uint64) *run {
	return &run{seed: seed, interval: manySmallBatches, faults: newFaults(seed), servers: map[string]*request.Server{}, ledgers: map[string]*ledger.Ledger{},
		executions: shard.NewMap[request.Key, int]()}
}

// start creates the entries. It must be called inside the synctest bubble.
func (r *run) start() {
	clock := clockwork.NewRealClock()
	r.store = standin.NewStore(clock)
	inForce := configuration.NewInForce()
	inForce.SetIfNewer(configuration.Versioned{Version: 1, Configuration: &configuration.Configuration{
		Teams:    []configuration.Team{{Name: runTeam, TopClass: fleet.Urgent, Weight: 1}},
		Services: []configuration.Service{{Name: runService, Timeout: 2 * time.Second}},
	}})
	for i := range runEntries {
		r.entries = append(r.entries, fmt.Sprintf("entry-%d", i+1))
	}
	for _, id := range r.entries {
		options := ledger.DefaultOptions(id)
		options.Interval = r.interval
		peers := &fakePeers{entry: id, live: r.entries, all: r.ledgers, faults: r.faults}
		store := &faultyStore{Store: r.store, lessor: r.store, entry: id, faults: r.faults}
		r.ledgers[id] = ledger.New(ledgerstore.New(store), ledgerstore.NewAnswers(store, store, clock), peers, clock, options)
		var l request.Ledger = r.ledgers[id]
		if r.wrap != nil {
			l = r.wrap(l)
		}
		r.servers[id] = &request.Server{InForce: inForce, Ledger: l, Clock: clock, RetryBudget: request.NewRetryBudget(request.RetryShare),
			Dispatcher: &fakeDispatcher{entry: id, shed: r.shed, faults: r.faults},
			Sender:     &fakeUpstream{entry: id, fail: r.fail, executions: r.executions, faults: r.faults}}
	}
}

// callers runs all callers to their end, and injectFaults, if any, concurrently.
func (r *run) callers(injectFaults func(random *rand.Rand, ended <-chan struct{})) {
	ended := make(chan struct{})
	var injector, callers sync.WaitGroup
	if injectFaults != nil {
		injector.Go(func() { injectFaults(rand.New(rand.NewPCG(r.seed, 2)), ended) })
	}
	for i := range runCallers {
		callers.Go(func() { r.caller(rand.New(rand.NewPCG(r.seed, uint64(100+i)))) })
	}
	callers.Wait()
	close(ended)
	injector.Wait()
	for _, l := range r.ledgers {
		_ = l.Close(context.Background())
	}
	time.Sleep(settleTime) // in fake time: the committers drop operations whose context has ended
}

// caller sends each of its keys one to four times, to random entries,
// concurrently or one after the other.
func (r *run) caller(random *rand.Rand) {
	for range runKeys {
		key := newKey(random)
		var copies sync.WaitGroup
		for range 1 + random.IntN(4) {
			entry := r.entries[random.IntN(len(r.entries))]
			timeout := 300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))
			id := fmt.Sprintf("%s/%d", key, random.Uint64())
			copies.Go(func() { r.send(entry, key, id, timeout) })
			if random.IntN(2) == 0 {
				copies.Wait()
			}
		}
		copies.Wait()
	}
}

func (r *run) send(entry string, key request.Key, id string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if r.faults.waitPaused(entry) {
		return
	}
	result := r.servers[entry].Serve(ctx, &request.Request{ID: id, Service: runService, Team: runTeam, Key: key, Method: "POST", Path: "/transfers",
		Body: []byte(key), Deadline: time.Now().Add(timeout)})
	if r.faults.waitPaused(entry) {
		return // a killed entry returns no result
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, callerResult{key: key, outcome: result.Outcome, replayed: result.Replayed, body: string(result.Answer.Body),
		inProgress: problem.Is(result.Err, problem.Conflict), err: result.Err})
}

// newKey returns a random UUIDv7 of the present time.
func newKey(random *rand.Rand) request.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000|random.Uint64()&0xfff)
	binary.BigEndian.PutUint64(id[8:], random.Uint64()>>2|1<<63)
	return request.Key(id.String())
}
