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

// DefaultRebootTime is the time for which a reboot takes an instance down.
const DefaultRebootTime = time.Second

// orderTimeout bounds the call that orders a stand-in upstream to go down.
const orderTimeout = 2 * time.Second

// Reboots reboots the instances of a list: an instance is leaving at once and live
// again after a configured time. The reboots are counted in shards by instance.
type Reboots struct {
	clock    clockwork.Clock
	list     *Instances
	faults   *shard.Cell[Faults]
	counts   *shard.Map[string, int]
	downtime *shard.Cell[time.Duration]
}

var _ platform.Rebooter = (*Reboots)(nil)

func newReboots(clock clockwork.Clock, list *Instances, faults *shard.Cell[Faults]) *Reboots {
	return &Reboots{clock: clock, list: list, faults: faults, counts: shard.NewMap[string, int](), downtime: shard.NewCell(DefaultRebootTime)}
}

// SetTime sets the time that later reboots take.
func (r *Reboots) SetTime(d time.Duration) {
	r.downtime.Update(func(time.Duration) (time.Duration, bool) { return d, true })
}

// Count returns the number of reboots of an instance.
func (r *Reboots) Count(instance string) int {
	n, _ := r.counts.Get(instance)
	return n
}

// Counts returns the number of reboots of every instance that was rebooted.
func (r *Reboots) Counts() map[string]int {
	all := make(map[string]int)
	r.counts.Range(func(id string, n int) bool { all[id] = n; return true })
	return all
}

// Reboot implements platform.Rebooter.
func (r *Reboots) Reboot(ctx context.Context, id string) error {
	instance, listed := r.list.current(id)
	if !listed {
		return problem.New(problem.NotFound, problem.StepReboot, id, "cannot reboot: the instance is not listed")
	}
	if instance.State != fleet.Live {
		return problem.New(problem.Conflict, problem.StepReboot, id, "cannot reboot: the instance is leaving")
	}
	r.counts.Update(id, func(n int, _ bool) (int, bool) { return n + 1, true })
	r.list.SetState(id, fleet.Leaving)
	down := r.downtime.Get()
	orderDown(ctx, instance.Address, down)
	if !slices.Contains(r.faults.Get().StayDown, id) {
		r.clock.AfterFunc(down, func() { r.list.SetState(id, fleet.Live) })
	}
	return nil
}

// orderDown orders a stand-in upstream to cut off its requests for the time down.
// It does nothing for an instance without an address, and ignores errors.
func orderDown(ctx context.Context, address string, down time.Duration) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, _ := json.Marshal(upstream.RebootOrder{DownMillis: down.Milliseconds()}) // cannot fail on an integer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/standin/reboot", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
