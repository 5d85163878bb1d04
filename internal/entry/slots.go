package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
	"persimmonbay/internal/telemetry"
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
// Only its own goroutine touches version, round and gone.
type slotKeeper struct {
	entry    *Entry
	placer   *dispatch.Placer
	pressed  *shard.Cell[uint64] // counts what a round should not wait for
	standing *shard.Cell[standing]
	taken    *shard.Cell[placeable]
	version  configuration.Version
	round    int
	gone     map[membership.EntryID]time.Time
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
	for _, o := range k.placer.Borrow(now, k.round%ticksPerRoutine == 0) {
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
		k.placer.Leave()
		batches := k.placer.Borrow(now, false)
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
		k.version = inForce.Version
	}
	revision := k.entry.control.router.following().revision
	for i := range inForce.Configuration.Services {
		name := inForce.Configuration.Services[i].Name
		k.placer.List(name, k.entry.routes.Candidates(name), now)
	}
	k.taken.Update(func(old placeable) (placeable, bool) {
		latest := placeable{version: inForce.Version, revision: revision}
		return latest, latest != old
	})
	k.placer.Trust(k.trustedUntil(now), now)
	if !k.unsettled(now) {
		k.see(now, true)
	}
	return true
}

// see tells the placer who the entries are: those registered in the store, and
// this one while it stays.
func (k *slotKeeper) see(now time.Time, staying bool) {
	var members []membership.EntryID
	if staying {
		members = append(members, membership.EntryID(k.entry.settings.ID))
	}
	for _, m := range k.entry.members.Members() {
		if m.Registered {
			members = append(members, m.ID)
			k.gone[m.ID] = now
			continue
		}
		if m.LastHeard.After(k.gone[m.ID]) {
			k.gone[m.ID] = m.LastHeard
		}
	}
	slices.Sort(members)
	gone := make(map[membership.EntryID]time.Time)
	for id, last := range k.gone {
		if now.Sub(last) > goneRemembered {
			delete(k.gone, id)
		} else if _, member := slices.BinarySearch(members, id); !member {
			gone[id] = last
		}
	}
	k.placer.See(members, gone, k.standing.Get().clean, now)
}

// send carries one batch to its entry and the loans back.
func (k *slotKeeper) send(ctx context.Context, o dispatch.Outgoing) {
	member, ok := k.entry.members.Member(o.To)
	if !ok {
		k.placer.Lost(o)
		return
	}
	response, err := k.entry.peers.Call(ctx, member.PeerAddress, &wire.Request{Body: &wire.Request_Slots{Slots: wire.FromSlotBatch(o.Batch)}})
	if err != nil {
		k.entry.log.Debug("slots not exchanged", telemetry.ProblemFields(err)...)
		k.placer.Lost(o)
		return
	}
	k.placer.Answered(o, wire.ToSlotLoans(o.Batch.Items, response.GetSlots()), k.entry.clock.Now())
}

// handleSlots answers another entry's batch.
func (e *Entry) handleSlots(from string, m *wire.SlotBatch) *wire.Response {
	loans, freed := e.slots.placer.Serve(wire.ToSlotBatch(from, m), e.clock.Now())
	if freed {
		e.slots.press()
	}
	return &wire.Response{Body: &wire.Response_Slots{Slots: wire.FromSlotLoans(loans)}}
}
