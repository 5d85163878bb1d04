package poolmanager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// unreliableStore loses responses at random, before or after the transaction was
// applied, or applies it later.
type unreliableStore struct {
	*fakeStore
	mu  sync.Mutex
	rng *rand.Rand
}

func (s *unreliableStore) roll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(10)
}

// Commit commits the transaction, or loses it or its response.
func (s *unreliableStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	lost := problem.New(problem.Interrupted, problem.StepStoreWrite, "", "no response")
	switch s.roll() {
	case 0, 1:
		_, _ = s.fakeStore.Commit(ctx, txn) // its response is lost
		return 0, lost
	case 2, 3:
		s.fakeStore.mu.Lock()
		s.delayed = append(s.delayed, txn)
		s.fakeStore.mu.Unlock()
		return 0, lost
	case 4:
		time.Sleep(50 * time.Microsecond)
	}
	revision, err := s.fakeStore.Commit(ctx, txn)
	if s.roll() < 3 {
		time.Sleep(100 * time.Microsecond) // the response is late
	}
	return revision, err
}

var _ = Describe("an owner that saves several batches over a store that loses responses", func() {
	It("acknowledges no end before it is saved, and ends with all saved", func() {
		for seed := range uint64(60) {
			const jobs, tasks = 24, 4
			s := newOwnershipScene()
			rng := rand.New(rand.NewPCG(seed, 1))
			ids := make([]string, jobs)
			for i := range jobs {
				ids[i] = fmt.Sprintf("job-%02d", i)
				sub := scheduler.Submission{ID: ids[i], Queue: "checks", Service: sceneService, MaxFailures: 4, Stretch: 1.6, Objective: time.Second,
					Steps: []scheduler.Step{{Count: tasks, Need: scheduler.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}}}
				job, err := poolstore.EncodeJob(&sub)
				Expect(err).NotTo(HaveOccurred())
				state, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: "checks"})
				Expect(err).NotTo(HaveOccurred())
				_, err = s.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: poolstore.JobKey(sceneService, ids[i]), Value: job}, {Key: poolstore.StateKey(sceneService, ids[i]), Value: state}}})
				Expect(err).NotTo(HaveOccurred())
			}
			o := s.load()
			o.Store = &unreliableStore{fakeStore: s.store, rng: rand.New(rand.NewPCG(seed, 2))}
			s.list(o, "a")
			s.poll(o, "a")
			order := rng.Perm(jobs * tasks)
			ends := make([]scheduler.EndReport, 0, jobs*tasks)
			for n, k := range order {
				ends = append(ends, scheduler.EndReport{Number: int64(n + 1), Task: scheduler.TaskID{Job: ids[k%jobs], Index: k / jobs}, Attempt: 1, Kind: scheduler.EndDone})
			}
			stored := func(e *scheduler.EndReport) bool {
				item, err := s.store.Get(context.Background(), poolstore.StateKey(sceneService, e.Task.Job))
				Expect(err).NotTo(HaveOccurred())
				state, err := poolstore.DecodeState(item.Key, item.Value)
				Expect(err).NotTo(HaveOccurred())
				done := state.Progress.Done
				flat := e.Task.Index
				return state.Progress.State.Final() || flat/8 < len(done) && done[flat/8]&(1<<(flat%8)) != 0
			}
			var group sync.WaitGroup
			stop := make(chan struct{})
			for range 4 {
				group.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							o.saveOnce(context.Background())
							time.Sleep(20 * time.Microsecond)
						}
					}
				})
			}
			acked := int64(0)
			check := func() {
				s.millis++
				req, _ := o.pool.NextPoll("a", s.clock.Now())
				acked = max(acked, req.AckedEnds)
				for i := range req.AckedEnds {
					Expect(stored(&ends[i])).To(BeTrue(), "seed %d: end %d is acknowledged and not saved", seed, i+1)
				}
			}
			for n := 0; n < len(ends); {
				n = min(n+1+rng.IntN(8), len(ends))
				s.millis++
				now := s.clock.Now()
				o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Ends: ends[:n]})
				check()
				if rng.IntN(4) == 0 {
					s.store.applyDelayed()
				}
				if rng.IntN(6) == 0 {
					id := ids[rng.IntN(jobs)]
					key := poolstore.StateKey(sceneService, id)
					item, _ := s.store.Get(context.Background(), key)
					state, _ := poolstore.DecodeState(key, item.Value)
					if !state.Progress.State.Final() {
						state.Progress.State = scheduler.Cancelled
						state.EndedAt = now
						value, _ := poolstore.EncodeState(&state)
						revision, err := s.store.Commit(context.Background(), store.Txn{Expected: []store.Expectation{{Key: key, Revision: item.Revision}}, Writes: []store.Write{{Key: key, Value: value}, {Key: poolstore.CancelKey(sceneService, id)}}})
						if err == nil && rng.IntN(2) == 0 {
							o.pool.CancelJob(id, revision)
						}
					}
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Microsecond)
			}
			Eventually(func() int64 { s.store.applyDelayed(); check(); return acked }, 5*time.Second, time.Millisecond).Should(BeEquivalentTo(len(ends)), "seed %d", seed)
			close(stop)
			group.Wait()
		}
	})
})
