package workstore_test

import (
	"math"
	"testing"
	"time"

	"persimmonbay/internal/work"
	"persimmonbay/internal/workstore"
)

// fuzzTasks bounds the tasks of a job that a run of the fuzz target plans.
const fuzzTasks = 10_000

// FuzzRecords guards against a record of the entries that ends the process, or
// whose figures spoil those of a pool.
func FuzzRecords(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	sub := work.Submission{
		ID: "j", Queue: "q", Spec: "s", Stretch: 1.6, Objective: time.Second, AcceptedAt: now, Repeat: 2, StartAt: now, Interval: time.Second,
		Steps: []work.Step{{Count: 3, Need: work.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: time.Second}, {Count: 1, After: []int{0}, Gang: true}},
	}
	seeds := [][]byte{nil, {0xf6}, {0xa1, 0x01, 0x05}, {0xa1, 0x01, 0xf9, 0x7e, 0x00}, []byte("7"), []byte("-1")}
	add := func(data []byte, err error) {
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	add(workstore.EncodeJob(&sub))
	add(workstore.EncodeState(&workstore.SavedState{Queue: "q", Progress: work.Progress{State: work.Active, Done: []byte{1}, Failures: map[int][]int{1: {1}}}}))
	add(workstore.EncodeRoster(&work.WorkerRoster{Epoch: 1, Workers: []work.RosterWorker{{ID: "w", Down: true, Tasks: []work.TaskID{{Job: "j"}}}}}))
	add(workstore.EncodeMember("127.0.0.1:1", 4))
	add(workstore.EncodeHome(map[string]int{"q": 3}))
	add(workstore.EncodeEmpty(now, true))
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := workstore.DecodeState("k", data)
		if err == nil {
			_ = state.Progress.State.String()
		}
		roster, err := workstore.DecodeRoster("k", data)
		if err != nil {
			roster = work.WorkerRoster{}
		}
		if p, err := workstore.DecodeUpkeep("k", data); err == nil {
			p.Ordered["m"], p.OrderedAt["m"], p.Confirmed["m"], p.Done["m"] = "w", now, true, true
		}
		if _, weight, err := workstore.DecodeMember("k", data); err == nil && (math.IsNaN(weight) || weight < 0 || weight > 1e6) {
			t.Fatalf("weight %v", weight)
		}
		home, err := workstore.DecodeHome("k", data)
		if err != nil && home != nil {
			t.Fatal("home machines of a record that is not understood")
		}
		_, _ = workstore.DecodeCount("k", data) // must not panic
		_, _ = workstore.DecodeOffer("k", data) // must not panic
		by, _, err := workstore.DecodeEmpty("k", data)
		if err != nil {
			by = time.Time{}
		}
		plan(t, data, roster, state.Progress, by)
	})
}

// plan has a pool take in what the records say, and checks its figures.
func plan(t *testing.T, data []byte, roster work.WorkerRoster, progress work.Progress, by time.Time) {
	now := time.Unix(1_700_000_000, 0)
	pool := work.NewPool("tags", 1, work.Timing{RunLease: 4500 * time.Millisecond, ClockDrift: 0.02}, roster, now)
	pool.SetMachinesToEmpty(map[string]time.Time{"m": by}, nil)
	pool.SetWorkers([]work.WorkerInfo{{ID: "w", Service: "tags", Machine: "m", Capacity: work.Resources{MilliCPU: 8000, MemoryMB: 8192}, Incarnation: 1}}, now)
	pool.RosterSaved(pool.Roster(now))
	if sub, err := workstore.DecodeJob("tags", "j", data); err == nil && sub.TaskCount()*sub.Occurrences() <= fuzzTasks {
		pool.AddJob(sub, 2, 2, progress, now)
	}
	for i := range 3 {
		now = now.Add(3 * time.Second)
		b := pool.CapacityReport(now)
		for _, figure := range []float64{b.Load.Used, b.Load.Waiting, b.Load.Backlog, b.Load.Usable, b.Load.LongRunning, b.Load.Expected, float64(b.Need)} {
			if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
				t.Fatalf("balance %+v", b)
			}
		}
		pool.Plan(now, now)
		pool.ApplyPoll(work.PollReply{Worker: "w", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: int64(i + 1)})
	}
}
