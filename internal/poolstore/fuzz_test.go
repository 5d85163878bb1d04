package poolstore_test

import (
	"math"
	"testing"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/quota"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/upkeep"
)

// fuzzTasks limits the number of tasks of a job that the fuzz target plans.
const fuzzTasks = 10_000

// FuzzRecords guards against a record that makes the process panic, or whose values
// lead to invalid figures of a pool.
func FuzzRecords(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	sub := scheduler.Submission{
		ID: "j", Queue: "q", Spec: "s", Stretch: 1.6, Objective: time.Second, AcceptedAt: now, Repeat: 2, StartAt: now, Interval: time.Second,
		Steps: []scheduler.Step{{Count: 3, Need: scheduler.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: time.Second}, {Count: 1, After: []int{0}, Gang: true}},
	}
	seeds := [][]byte{nil, {0xf6}, {0xa1, 0x01, 0x05}, {0xa1, 0x01, 0xf9, 0x7e, 0x00}, []byte("7"), []byte("-1")}
	add := func(data []byte, err error) {
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	add(poolstore.EncodeJob(&sub))
	add(poolstore.EncodeState(&poolstore.JobProgress{Queue: "q", Progress: scheduler.Progress{State: scheduler.Active, Done: []byte{1}, Failures: map[int][]int{1: {1}}}}))
	add(poolstore.EncodeRoster(&scheduler.WorkerRoster{Tenure: 1, Workers: []scheduler.RosterWorker{{ID: "w", Down: true, Tasks: []scheduler.TaskID{{Job: "j"}}}}}))
	add(poolstore.EncodeMember("127.0.0.1:1", 4))
	add(poolstore.EncodeOwnMachines(map[string]int{"q": 3}))
	add(poolstore.EncodeEmptyRequest(&upkeep.EmptyRequest{Pool: "tags", Worker: "w", By: now, Emptied: true}))
	add(poolstore.EncodeKinds([]scheduler.KindNeed{{Label: "rack-1", Capacity: scheduler.Resources{MilliCPU: 1000}, Count: 2}}))
	add(poolstore.EncodeQuota(&quota.Account{Pools: map[string]quota.Grant{"tags": {Granted: quota.Amount{MilliCPU: 4000}, Wanted: quota.Amount{MilliCPU: 8000, MemoryMB: 1}}}}))
	seeds = append(seeds, []byte{0xa1, 0x61, 0x71, 0xa1, 0x01, 0x83, 0x20, 0x00, 0x00}) // a grant below 0
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := poolstore.DecodeState("k", data)
		if err == nil {
			_ = state.Progress.State.String()
		}
		roster, err := poolstore.DecodeRoster("k", data)
		if err != nil {
			roster = scheduler.WorkerRoster{}
		}
		if p, err := poolstore.DecodeUpkeep("k", data); err == nil {
			p.Ordered["m"], p.OrderedAt["m"], p.Confirmed["m"], p.Done["m"] = "w", now, true, true
		}
		if _, weight, err := poolstore.DecodeMember("k", data); err == nil && (math.IsNaN(weight) || weight < 0 || weight > 1e6) {
			t.Fatalf("weight %v", weight)
		}
		own, err := poolstore.DecodeOwnMachines("k", data)
		if err != nil && own != nil {
			t.Fatal("own machines of a record that cannot be decoded")
		}
		_, _ = poolstore.DecodeCount("k", data) // must not panic
		_, _ = poolstore.DecodeOffer("k", data) // must not panic
		if kinds, err := poolstore.DecodeKinds("k", data); err == nil {
			for _, k := range kinds {
				if k.Count < 0 {
					t.Fatalf("need for %d machines", k.Count)
				}
			}
		}
		if account, err := poolstore.DecodeQuota("k", data); err == nil {
			for pool, g := range account.Pools {
				if none := (quota.Amount{}); g.Granted.Max(none) != g.Granted || g.Wanted.Max(none) != g.Wanted || pool == "" {
					t.Fatalf("grant %+v of pool %q", g, pool)
				}
			}
		}
		request, err := poolstore.DecodeEmptyRequest("k", data)
		if err != nil {
			request.By = time.Time{}
		}
		plan(t, data, roster, state.Progress, request.By)
	})
}

// plan applies the records to a pool, and checks the pool's figures.
func plan(t *testing.T, data []byte, roster scheduler.WorkerRoster, progress scheduler.Progress, by time.Time) {
	now := time.Unix(1_700_000_000, 0)
	pool := scheduler.NewPool("tags", 1, scheduler.Timing{RunLease: 4500 * time.Millisecond, ClockDrift: 0.02}, roster, now)
	pool.SetMachinesToEmpty(map[string]time.Time{"m": by}, nil)
	pool.SetWorkers([]scheduler.WorkerInfo{{ID: "w", Service: "tags", Machine: "m", Capacity: scheduler.Resources{MilliCPU: 8000, MemoryMB: 8192}, Incarnation: 1}}, now)
	pool.RosterSaved(pool.Roster(now))
	if sub, err := poolstore.DecodeJob("tags", "j", data); err == nil && sub.TaskCount()*sub.Occurrences() <= fuzzTasks {
		pool.AddJob(sub, 2, 2, progress, now)
	}
	for i := range 3 {
		now = now.Add(3 * time.Second)
		b := pool.CapacityReport(now)
		for _, figure := range []float64{b.Load.Used, b.Load.Waiting, b.Load.Backlog, b.Load.Usable, b.Load.LongRunning, b.Load.Expected, float64(b.Need)} {
			if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
				t.Fatalf("capacity report %+v", b)
			}
		}
		pool.Plan(now, now)
		pool.ApplyPoll(scheduler.PollReply{Worker: "w", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: int64(i + 1)})
	}
}
