package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/standin/upstream"
)

// DefaultRebootTime is how long an instance is away for a reboot.
const DefaultRebootTime = time.Second

// announceTimeout bounds the call that tells a stand-in instance of its reboot.
const announceTimeout = 2 * time.Second

// Reboots reboots instances of a list: each is leaving at once and live again
// after a set time. It counts them in shards by instance.
type Reboots struct {
	clock  clockwork.Clock
	list   *Instances
	faults *shard.Cell[Faults]
	counts *shard.Map[string, int]
	time   *shard.Cell[time.Duration]
}

var _ platform.Rebooter = (*Reboots)(nil)

func newReboots(clock clockwork.Clock, list *Instances, faults *shard.Cell[Faults]) *Reboots {
	return &Reboots{clock: clock, list: list, faults: faults, counts: shard.NewMap[string, int](), time: shard.NewCell(DefaultRebootTime)}
}

// SetTime sets how long a reboot takes from now on.
func (r *Reboots) SetTime(d time.Duration) {
	r.time.Update(func(time.Duration) (time.Duration, bool) { return d, true })
}

// Count returns how often an instance was rebooted.
func (r *Reboots) Count(instance string) int {
	n, _ := r.counts.Get(instance)
	return n
}

// Counts returns the reboots of every instance that had one.
func (r *Reboots) Counts() map[string]int {
	all := make(map[string]int)
	r.counts.Range(func(id string, n int) bool { all[id] = n; return true })
	return all
}

// Reboot implements platform.Rebooter.
func (r *Reboots) Reboot(ctx context.Context, id string) error {
	instance, listed := r.list.current(id)
	if !listed {
		return problem.New(problem.NotFound, problem.StepReboot, id, "no such instance")
	}
	if instance.State != fleet.Live {
		return problem.New(problem.Conflict, problem.StepReboot, id, "it is leaving")
	}
	r.counts.Update(id, func(n int, _ bool) (int, bool) { return n + 1, true })
	r.list.SetState(id, fleet.Leaving)
	down := r.time.Get()
	announce(ctx, instance.Address, down)
	if !slices.Contains(r.faults.Get().NeverBack, id) {
		r.clock.AfterFunc(down, func() { r.list.SetState(id, fleet.Live) })
	}
	return nil
}

// announce tells a stand-in upstream that it is down for a while. Instances
// that listen nowhere need not be told.
func announce(ctx context.Context, address string, down time.Duration) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, _ := json.Marshal(upstream.RebootOrder{DownMillis: down.Milliseconds()}) // plain fields cannot fail
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/standin/reboot", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
