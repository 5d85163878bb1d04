package maintenance_test

import (
	"fmt"
	"maps"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// Timing of a replayed fleet.
const (
	replayAck    = time.Second      // between two plans, in which all entries acknowledge
	replayReboot = 90 * time.Second // until a rebooted instance is live again
	replayIdle   = time.Minute      // between two plans of a wave that makes no progress
	replayLimit  = 36 * time.Hour   // after which the replay of a wave is stopped
	replayCycle  = replayReboot + 6*replayAck
)

// replay carries out plans at once, in virtual time, without a store.
type replay struct {
	snapshot maintenance.Snapshot
	policy   maintenance.Policy
	version  uint64
	backAt   map[string]time.Time
	result   replayResult
}

// newReplay returns a fleet with the given number of pools, of instances in
// each and of spares. share returns the availability budget of a pool.
// Instances are spread over the zones and over racks of four.
func newReplay(pools, perPool, zones, spares int, share func(pool int) float64) *replay {
	r := &replay{policy: maintenance.DefaultPolicy(), backAt: map[string]time.Time{}}
	r.snapshot = maintenance.Snapshot{Now: time.Unix(1_800_000_000, 0), Records: map[string]maintenance.Record{},
		Listed: map[string]fleet.Instance{}, ListedKnown: true, ServicePools: map[string]string{}, Complete: true}
	for p := range pools {
		r.addPool(fmt.Sprintf("pool-%03d", p), perPool, zones, maintenance.Budget{Share: share(p)})
	}
	r.addPool("spare", spares, zones, maintenance.Budget{Share: 1, Spare: true})
	r.apply(maintenance.Plan(&r.snapshot, r.policy))
	return r
}

func (r *replay) addPool(name string, instances, zones int, b maintenance.Budget) {
	b.Pool = name
	r.snapshot.Budgets = append(r.snapshot.Budgets, b)
	r.snapshot.ServicePools[name] = name
	for i := range instances {
		n := len(r.snapshot.Listed)
		id := fmt.Sprintf("%s-%02d", name, i)
		r.snapshot.Listed[id] = fleet.Instance{ID: id, Kind: fleet.KindUpstream, Service: name, State: fleet.Live,
			AvailabilityZone: fmt.Sprintf("az-%d", n%zones), Rack: fmt.Sprintf("rack-%03d", n/(4*zones))}
	}
}

func (r *replay) next() uint64 { r.version++; return r.version }

// apply makes the changes of a plan.
func (r *replay) apply(c maintenance.Changes) {
	s := &r.snapshot
	for _, record := range c.Records {
		if before, known := s.Records[record.Instance]; known && before.Pool != record.Pool {
			r.result.moves++
		}
		record.Version = r.next()
		s.Records[record.Instance] = record
		r.result.writes++
	}
	for _, record := range c.Deleted {
		delete(s.Records, record.Instance)
		r.result.writes++
	}
	if c.Disruptions != nil {
		s.Disruptions = *c.Disruptions
		s.Disruptions.Version = r.next()
		r.result.writes++
	}
	if c.Wave != nil {
		s.Wave = *c.Wave
		r.result.writes++
	}
	for _, record := range c.Reboots {
		r.setState(record.Instance, fleet.Leaving)
		r.backAt[record.Instance] = s.Now.Add(replayReboot)
		r.result.writes += 2 // the request, and the record of its acceptance
	}
}

func (r *replay) setState(id string, state fleet.InstanceState) {
	i := r.snapshot.Listed[id]
	i.State = state
	r.snapshot.Listed[id] = i
}

// wave replays a whole wave and returns its measured values.
func (r *replay) wave(strategy maintenance.Strategy, atOnce int) replayResult {
	wave, err := maintenance.RequestWave(&r.snapshot, maintenance.Wave{ID: "wave", Strategy: strategy, MaxDown: atOnce})
	if err != nil {
		panic(err)
	}
	r.snapshot.Wave, r.result = wave, replayResult{}
	for r.snapshot.Now.Sub(wave.Started) < replayLimit && (r.snapshot.Wave.Open() || len(r.snapshot.Disruptions.Reservations) > 0 || r.lent() > 0) {
		r.step()
	}
	if !r.snapshot.Wave.Open() {
		r.result.rollout = r.snapshot.Wave.Finished.Sub(wave.Started)
	}
	return r.result
}

func (r *replay) step() {
	c := maintenance.Plan(&r.snapshot, r.policy)
	if !c.Empty() {
		r.result.steps++
		r.apply(c)
	}
	r.measure()
	r.advanceClock(c.Empty())
}

// advanceClock advances the clock by one step or, after a plan without changes,
// to the next event: an instance is back, or the start window has passed.
func (r *replay) advanceClock(idle bool) {
	r.snapshot.Now = r.snapshot.Now.Add(replayAck)
	if idle && len(r.backAt) == 0 {
		r.snapshot.Now = r.snapshot.Now.Add(replayIdle)
	}
	if idle && len(r.backAt) > 0 {
		next := r.snapshot.Now.Add(r.policy.StartWindow) // the wave may start more instances then
		for _, at := range r.backAt {
			if at.Before(next) {
				next = at
			}
		}
		r.snapshot.Now = next
	}
	for id, at := range maps.Clone(r.backAt) {
		if !at.After(r.snapshot.Now) {
			r.setState(id, fleet.Live)
			delete(r.backAt, id)
		}
	}
}

func (r *replay) lent() int {
	lent := 0
	for _, record := range r.snapshot.Records {
		if record.Lent() {
			lent++
		}
	}
	return lent
}

func (r *replay) measure() {
	r.result.buffer = max(r.result.buffer, r.lent())
	serving := map[string]int{}
	for id, record := range r.snapshot.Records {
		if record.Phase == maintenance.Serving && r.snapshot.Listed[id].State == fleet.Live {
			serving[record.Pool]++
		}
	}
	for _, t := range maintenance.PoolCounts(&r.snapshot) {
		if !t.Spare {
			r.result.short = max(r.result.short, t.Needed-serving[t.Pool])
		}
	}
}

// lowestRollout is a lower bound for the duration of a wave under the budgets,
// with at most atOnce instances out of service at a time.
func (r *replay) lowestRollout(atOnce int) time.Duration {
	home := map[string]int{}
	for _, record := range r.snapshot.Records {
		home[record.Home]++
	}
	rounds := ceilDiv(len(r.snapshot.Records), atOnce)
	for _, b := range r.snapshot.Budgets {
		rounds = max(rounds, ceilDiv(home[b.Pool], max(1, b.Allowed(home[b.Pool]))))
	}
	return time.Duration(rounds) * replayCycle
}

// fewestMoves is a lower bound for the moves: a loan and its return for each
// pool whose budget allows no instance to be unavailable.
func (r *replay) fewestMoves() int {
	home := map[string]int{}
	for _, record := range r.snapshot.Records {
		home[record.Home]++
	}
	moves := 0
	for _, b := range r.snapshot.Budgets {
		if b.Allowed(home[b.Pool]) == 0 {
			moves += 2
		}
	}
	return moves
}

func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }
