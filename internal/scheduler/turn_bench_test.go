package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/quota"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/teams"
)

// A turn is the load of the users' heaviest days on the owner of one pool: its workers are
// full, and some jobs a worker wait.
const (
	turnWorkers  = 85
	turnTeams    = 20
	turnTasks    = 8 // of each step
	turnStep     = 10 * time.Millisecond
	turnEnds     = 13 // in each turnStep
	turnPlanned  = 6  // plans between two capacity reports
	turnSaved    = 2  // plans between two saves
	turnTaskTime = 640 * time.Millisecond
)

// turn drives a pool through a turn: ends are applied, a plan is made, starts are answered,
// progress is saved and the load is reported.
type turn struct {
	*scene
	running  [][]scheduler.StartOrder // by worker
	next     int                      // number of the next job
	waiting  int
	revision int64
	steps    int
	withTeam bool
}

func newTurn(waiting int, withTeams bool) *turn {
	var infos []scheduler.WorkerInfo
	for i := range turnWorkers {
		infos = append(infos, worker(fmt.Sprintf("w%03d", i)))
	}
	t := &turn{scene: newScene(infos...), running: make([][]scheduler.StartOrder, turnWorkers), waiting: waiting, revision: token + 1, withTeam: withTeams}
	t.advance(time.Minute)
	if withTeams {
		shares, limits := map[string]teams.Share{}, map[string]quota.Limit{}
		for i := range turnTeams {
			shares[turnTeam(i)] = teams.Share{Weight: float64(1 + i%4), Priority: i % 3}
			most := quota.Amount{MilliCPU: 600_000, MemoryMB: 2_000_000}
			limits[turnTeam(i)] = quota.Limit{Cap: most, Granted: most, Running: most}
		}
		t.pool.SetTeams(shares)
		t.pool.SetQuotaLimits(limits)
	}
	for range waiting {
		t.addNext()
	}
	t.plan10ms()
	return t
}

func turnTeam(i int) string { return fmt.Sprintf("team-%02d", i) }

// addNext adds a job of two steps, one after the other.
func (t *turn) addNext() {
	sub := batchJob(fmt.Sprintf("j%07d", t.next), turnTasks)
	sub.Queue = fmt.Sprint("queue-", t.next%6)
	sub.Steps[0].Need.MilliCPU, sub.Steps[0].Estimate = 3100, turnTaskTime
	sub.Steps = append(sub.Steps, sub.Steps[0])
	sub.Steps[1].After = []int{0}
	if t.withTeam {
		sub.Team = turnTeam(t.next * 7 % turnTeams)
	}
	t.add(sub)
	t.next++
}

// plan10ms makes a plan, has its starts accepted, and advances the time.
func (t *turn) plan10ms() {
	for _, o := range t.plan().Starts {
		t.pool.StartAnswered(o, scheduler.Accepted, t.clock, t.now)
		var i int
		_, _ = fmt.Sscanf(o.Worker, "w%d", &i)
		t.running[i] = append(t.running[i], o)
	}
	t.advance(turnStep)
}

// step lets some of the oldest runs end.
func (t *turn) step() {
	t.steps++
	for n := range turnEnds {
		i := (t.steps*turnEnds + n) % turnWorkers
		if len(t.running[i]) == 0 {
			continue
		}
		ended := t.running[i][0]
		t.running[i] = t.running[i][1:]
		var reports []scheduler.RunReport
		for _, o := range t.running[i] {
			reports = append(reports, runReport(o))
		}
		t.poll(fmt.Sprintf("w%03d", i), reports, endReport(ended, scheduler.EndDone))
		t.pool.SavePending()
	}
	t.plan10ms()
	if t.steps%turnSaved == 0 {
		t.revision++
		items, _ := t.pool.ClaimUnsaved(31)
		t.pool.Saved(items, t.revision)
	}
	if t.steps%turnPlanned == 0 {
		t.pool.CapacityReport(t.now)
		t.pool.DoorReport(t.now)
	}
	if t.steps%2 == 0 {
		t.addNext()
	}
}

// BenchmarkTurn measures what 10 ms of a turn cost the owner's decisions.
func BenchmarkTurn(b *testing.B) {
	for _, waiting := range []int{1000, 5000} {
		for _, withTeams := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/teams=%v", waiting, withTeams), func(b *testing.B) {
				t := newTurn(waiting, withTeams)
				for range 100 {
					t.step()
				}
				b.ReportAllocs()
				for b.Loop() {
					t.step()
				}
			})
		}
	}
}
