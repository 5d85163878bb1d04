package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

// Timing of the slot manager.
const (
	slotInterval    = 100 * time.Millisecond // between two rounds without a request for one
	minSlotInterval = 20 * time.Millisecond  // between two rounds when one is requested
	fullReportEvery = 50                     // rounds between two that also report a lower demand
	maxLeaveRounds  = 10
	leaveTimeout    = time.Second
	absentRetention = 10 * time.Minute // how long an absent entry stays in the view
)

// slotManager runs the slot placer of an entry: it passes the configuration, the
// instances and the members to it, and sends its batches to other entries. Only
// its own goroutine accesses version, instances, rounds, lastSeen and departed.
type slotManager struct {
	entry        *Entry
	placer       *dispatch.Placer
	requests     *shard.Cell[uint64] // counts the requests for a round before the next regular one
	registration *shard.Cell[registrationStatus]
	placerState  *shard.Cell[placerState]
	version      configuration.Version
	instances    map[string][]fleet.Instance // by service, as passed to the placer
	rounds       int
	lastSeen     map[membership.EntryID]time.Time // when each was last registered or sent a heartbeat
	departed     map[membership.EntryID]bool      // its last heartbeat reported that it was leaving
}

func newSlotManager(e *Entry) *slotManager {
	self := slots.Holder{Entry: membership.EntryID(e.settings.ID), Incarnation: e.incarnation}
	newOrder := func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) }
	return &slotManager{
		entry:        e,
		placer:       dispatch.NewPlacer(self, e.settings.AvailabilityZone, e.clock.Now(), newOrder),
		requests:     shard.NewCell(uint64(0)),
		registration: shard.NewCell(registrationStatus{}),
		placerState:  shard.NewCell(placerState{}),
		lastSeen:     make(map[membership.EntryID]time.Time),
		departed:     make(map[membership.EntryID]bool),
	}
}

func (sm *slotManager) dispatcher() *dispatch.Dispatcher {
	return dispatch.New(sm.placer, sm.entry.clock, recorder{sm.entry.metrics}, sm.requestRound)
}

// requestRound makes the next round start after minSlotInterval.
func (sm *slotManager) requestRound() {
	sm.requests.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// run executes rounds until ctx ends, then returns this entry's slots.
func (sm *slotManager) run(ctx context.Context) {
	defer sm.leave()
	for {
		_, requested := sm.requests.Watch()
		sm.round(ctx)
		if !sm.wait(ctx, sm.entry.clock.After(minSlotInterval), nil) {
			return
		}
		if !sm.wait(ctx, sm.entry.clock.After(slotInterval-minSlotInterval), requested) {
			return
		}
	}
}

// wait waits for either channel. It returns false when ctx ends first.
func (sm *slotManager) wait(ctx context.Context, due <-chan time.Time, requested <-chan struct{}) bool {
	select {
	case <-due:
	case <-requested:
	case <-ctx.Done():
		return false
	}
	return true
}

// round passes changes to the placer and sends the batches that are due.
func (sm *slotManager) round(ctx context.Context) {
	now := sm.entry.clock.Now()
	if !sm.updatePlacer(now) {
		return
	}
	sm.placer.Tick(now)
	sm.rounds++
	for _, o := range sm.placer.NextBatches(now, sm.rounds%fullReportEvery == 0) {
		go sm.send(ctx, o)
	}
}

// leave returns this entry's slots to their homes, and hands what it knows as a
// home over to the next ones, within leaveTimeout. Its requests have ended by then.
func (sm *slotManager) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for range maxLeaveRounds {
		now := sm.entry.clock.Now()
		sm.updateView(now, false)
		sm.placer.ReturnIdle()
		batches := sm.placer.NextBatches(now, false)
		if len(batches) == 0 {
			return
		}
		var calls sync.WaitGroup
		for _, o := range batches {
			calls.Go(func() { sm.send(ctx, o) })
		}
		calls.Wait()
		select {
		case <-sm.entry.clock.After(minSlotInterval):
		case <-ctx.Done():
			return
		}
	}
}

// updatePlacer passes changes of the configuration, the instances, the
// registration and the members to the placer. It returns false while no
// configuration is in force.
func (sm *slotManager) updatePlacer(now time.Time) bool {
	inForce := sm.entry.inForce.Get()
	if inForce.Configuration == nil {
		return false
	}
	if inForce.Version != sm.version {
		sm.placer.Configure(inForce.Configuration)
		sm.version, sm.instances = inForce.Version, make(map[string][]fleet.Instance)
	}
	revision := sm.entry.control.router.current().revision
	for i := range inForce.Configuration.Services {
		sm.updateInstances(inForce.Configuration.Services[i].Name, now)
	}
	sm.placerState.Update(func(old placerState) (placerState, bool) {
		latest := placerState{version: inForce.Version, revision: revision}
		return latest, latest != old
	})
	sm.placer.SetConfirmedUntil(sm.confirmedUntil(now), now)
	if !sm.registrationsUnreliable(now) {
		sm.updateView(now, true)
	}
	return true
}

// updateInstances passes a service's instances to the placer if they have changed.
func (sm *slotManager) updateInstances(service string, now time.Time) {
	instances := sm.entry.routes.Candidates(service)
	known, passed := sm.instances[service]
	if passed && slices.Equal(known, instances) {
		return
	}
	sm.placer.SetInstances(service, instances, now)
	sm.instances[service] = instances
}

// updateView passes the entries to the placer: those registered in the store, and
// this one while it stays.
func (sm *slotManager) updateView(now time.Time, staying bool) {
	var members []membership.EntryID
	if staying {
		members = append(members, membership.EntryID(sm.entry.settings.ID))
	}
	for _, m := range sm.entry.members.Members() {
		sm.departed[m.ID] = m.Leaving
		if m.Registered {
			members = append(members, m.ID)
			sm.lastSeen[m.ID] = now
			continue
		}
		if m.LastHeartbeat.After(sm.lastSeen[m.ID]) {
			sm.lastSeen[m.ID] = m.LastHeartbeat
		}
	}
	slices.Sort(members)
	sm.placer.SetView(sm.view(members, now), now)
}

// view returns the placer's view of the entries, given the sorted registered ones.
// Absent entries stay in it for absentRetention, and longer while most of the
// entries are absent without having announced it.
func (sm *slotManager) view(members []membership.EntryID, now time.Time) slots.View {
	view := slots.View{Members: members, NoPredecessor: sm.registration.Get().noPredecessor, LastSeen: make(map[membership.EntryID]time.Time), Departed: make(map[membership.EntryID]bool)}
	for id, last := range sm.lastSeen {
		if !view.Has(id) {
			view.LastSeen[id], view.Departed[id] = last, sm.departed[id]
		}
	}
	if view.MostSilent() {
		return view
	}
	for id, last := range sm.lastSeen {
		if now.Sub(last) > absentRetention {
			delete(sm.lastSeen, id)
			delete(sm.departed, id)
			delete(view.LastSeen, id)
		}
	}
	return view
}
