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

// Timing of the slot keeper.
const (
	slotTick        = 100 * time.Millisecond // between two rounds when nothing presses
	slotMinimumGap  = 20 * time.Millisecond  // between two rounds when something does
	ticksPerRoutine = 50                     // rounds between two reports of less demand
	leaveRounds     = 10
	leaveTimeout    = time.Second
	goneRemembered  = 10 * time.Minute // how long an entry that went is kept in the view
)

// slotKeeper runs the placer of an entry: it tells it of the configuration,
// the instances and the members, and carries its batches to other entries.
// Only its own goroutine touches version, listed, round, gone and left.
type slotKeeper struct {
	entry    *Entry
	placer   *dispatch.Placer
	pressed  *shard.Cell[uint64] // counts what a round should not wait for
	standing *shard.Cell[standing]
	taken    *shard.Cell[placeable]
	version  configuration.Version
	listed   map[string][]fleet.Instance // by service, as the placer knows them
	round    int
	gone     map[membership.EntryID]time.Time // when each was last registered or heard
	left     map[membership.EntryID]bool      // said that it was leaving when last heard
}

func newSlotKeeper(e *Entry) *slotKeeper {
	self := slots.Holder{Entry: membership.EntryID(e.settings.ID), Incarnation: e.incarnation}
	newOrder := func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) }
	return &slotKeeper{
		entry:    e,
		placer:   dispatch.NewPlacer(self, e.settings.AvailabilityZone, e.clock.Now(), newOrder),
		pressed:  shard.NewCell(uint64(0)),
		standing: shard.NewCell(standing{}),
		taken:    shard.NewCell(placeable{}),
		gone:     make(map[membership.EntryID]time.Time),
		left:     make(map[membership.EntryID]bool),
	}
}

func (k *slotKeeper) dispatcher() *dispatch.Dispatcher {
	return dispatch.New(k.placer, k.entry.clock, recorder{k.entry.metrics}, k.press)
}

// press asks for a round soon.
func (k *slotKeeper) press() {
	k.pressed.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// run does rounds until ctx ends, then hands back what it holds.
func (k *slotKeeper) run(ctx context.Context) {
	defer k.leave()
	for {
		_, pressed := k.pressed.Watch()
		k.once(ctx)
		if !k.pause(ctx, k.entry.clock.After(slotMinimumGap), nil) {
			return
		}
		if !k.pause(ctx, k.entry.clock.After(slotTick-slotMinimumGap), pressed) {
			return
		}
	}
}

// pause waits for either channel and reports whether ctx still runs.
func (k *slotKeeper) pause(ctx context.Context, due <-chan time.Time, pressed <-chan struct{}) bool {
	select {
	case <-due:
	case <-pressed:
	case <-ctx.Done():
		return false
	}
	return true
}

func (k *slotKeeper) once(ctx context.Context) {
	now := k.entry.clock.Now()
	if !k.learn(now) {
		return
	}
	k.placer.Tick(now)
	k.round++
	for _, o := range k.placer.NextBatches(now, k.round%ticksPerRoutine == 0) {
		go k.send(ctx, o)
	}
}

// leave hands this entry's slots back and what it knows as a home on. Its
// requests have ended by then.
func (k *slotKeeper) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for range leaveRounds {
		now := k.entry.clock.Now()
		k.see(now, false)
		k.placer.ReturnIdle()
		batches := k.placer.NextBatches(now, false)
		if len(batches) == 0 {
			return
		}
		var calls sync.WaitGroup
		for _, o := range batches {
			calls.Go(func() { k.send(ctx, o) })
		}
		calls.Wait()
		select {
		case <-k.entry.clock.After(slotMinimumGap):
		case <-ctx.Done():
			return
		}
	}
}

// learn takes over what changed, and reports whether there is a configuration
// and a view of the members.
func (k *slotKeeper) learn(now time.Time) bool {
	inForce := k.entry.inForce.Get()
	if inForce.Configuration == nil {
		return false
	}
	if inForce.Version != k.version {
		k.placer.Configure(inForce.Configuration)
		k.version, k.listed = inForce.Version, make(map[string][]fleet.Instance)
	}
	revision := k.entry.control.router.following().revision
	for i := range inForce.Configuration.Services {
		k.list(inForce.Configuration.Services[i].Name, now)
	}
	k.taken.Update(func(old placeable) (placeable, bool) {
		latest := placeable{version: inForce.Version, revision: revision}
		return latest, latest != old
	})
	k.placer.SetConfirmedUntil(k.confirmedUntil(now), now)
	if !k.unsettled(now) {
		k.see(now, true)
	}
	return true
}

// list tells the placer of a service's instances if they have changed.
func (k *slotKeeper) list(service string, now time.Time) {
	instances := k.entry.routes.Candidates(service)
	known, told := k.listed[service]
	if told && slices.Equal(known, instances) {
		return
	}
	k.placer.SetInstances(service, instances, now)
	k.listed[service] = instances
}

// see tells the placer who the entries are: those registered in the store, and
// this one while it stays.
func (k *slotKeeper) see(now time.Time, staying bool) {
	var members []membership.EntryID
	if staying {
		members = append(members, membership.EntryID(k.entry.settings.ID))
	}
	for _, m := range k.entry.members.Members() {
		k.left[m.ID] = m.Leaving
		if m.Registered {
			members = append(members, m.ID)
			k.gone[m.ID] = now
			continue
		}
		if m.LastHeartbeat.After(k.gone[m.ID]) {
			k.gone[m.ID] = m.LastHeartbeat
		}
	}
	slices.Sort(members)
	k.placer.SetView(k.view(members, now), now)
}

// view returns what the placer is to know of the entries, given the sorted
// registered ones. Those that went are remembered for goneRemembered, or for as
// long as most are away without a word.
func (k *slotKeeper) view(members []membership.EntryID, now time.Time) slots.View {
	view := slots.View{Members: members, Clean: k.standing.Get().clean, LastSeen: make(map[membership.EntryID]time.Time), Departed: make(map[membership.EntryID]bool)}
	for id, last := range k.gone {
		if !view.Has(id) {
			view.LastSeen[id], view.Departed[id] = last, k.left[id]
		}
	}
	if view.MostSilent() {
		return view
	}
	for id, last := range k.gone {
		if now.Sub(last) > goneRemembered {
			delete(k.gone, id)
			delete(k.left, id)
			delete(view.LastSeen, id)
		}
	}
	return view
}
