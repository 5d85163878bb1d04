package dispatch

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

// Placer places the requests of all services of one entry on upstreams. The
// state of each service is a shard of its own under its own lock; services share
// no state. Its methods may be called concurrently, except as NextBatches and
// ReturnIdle state.
type Placer struct {
	self           slots.Holder
	startedAt      time.Time
	zone           string
	newOrder       func(admission.Shares) admission.Order
	services       *shard.Map[string, *serviceShard] // by service
	infos          *shard.Map[string, upstreamInfo]  // by upstream
	view           *shard.Cell[*slots.View]
	confirmedUntil *shard.Cell[time.Time] // end of the store's confirmation of this entry's registration
	lenders        *slots.Lenders
	seq            *shard.Cell[uint64] // of the latest batch
	rounds         tokenBucket         // only used by NextBatches and ReturnIdle
	settling       tokenBucket         // for rounds of urgent reports; only used by NextBatches
}

// NewPlacer returns a placer without services, of a process that started at
// startedAt. newOrder returns a new admission order for a service.
func NewPlacer(self slots.Holder, zone string, startedAt time.Time, newOrder func(admission.Shares) admission.Order) *Placer {
	p := &Placer{
		self: self, startedAt: startedAt, zone: zone, newOrder: newOrder,
		services:       shard.NewMap[string, *serviceShard](),
		infos:          shard.NewMap[string, upstreamInfo](),
		view:           shard.NewCell[*slots.View](nil),
		confirmedUntil: shard.NewCell(time.Time{}),
		seq:            shard.NewCell(uint64(0)),
		rounds:         newTokenBucket(roundBurst, startedAt),
		settling:       newTokenBucket(settlingRoundBurst, startedAt),
	}
	p.lenders = slots.NewLenders(self, p.view, p.confirmedUntil, p.terms)
	return p
}

// drainMargin is added to the timeout of a request before its slot is lent again
// without a report from its holder.
const drainMargin = time.Second

// terms returns the terms on which this entry lends slots of an upstream, and
// whether the upstream is known.
func (p *Placer) terms(upstream string) (slots.Terms, bool) {
	info, ok := p.infos.Get(upstream)
	return slots.Terms{Capacity: info.slots, DrainTimeout: info.timeout + drainMargin}, ok
}

// Configure applies a configuration: services, their slots and timeouts, and the
// teams' shares.
func (p *Placer) Configure(c *configuration.Configuration) {
	shares := admission.SharesOf(c)
	for i := range c.Services {
		s := &c.Services[i]
		state := p.services.GetOrCreate(s.Name, func() *serviceShard {
			return &serviceShard{service: service{zone: p.zone, order: p.newOrder(shares)}}
		})
		state.mu.Lock()
		state.service.timeout, state.service.capacity = s.Timeout, s.Slots
		state.service.order.SetShares(shares)
		state.mu.Unlock()
	}
}

// SetInstances sets the instances of a service that may receive new work. It has
// no effect on a service that is not configured.
func (p *Placer) SetInstances(service string, instances []fleet.Instance, now time.Time) {
	state, ok := p.services.Get(service)
	if !ok {
		return
	}
	state.mu.Lock()
	state.service.setInstances(instances)
	state.service.startQueued(now)
	timeout, capacity := state.service.timeout, state.service.capacity
	state.mu.Unlock()
	for _, i := range instances {
		p.infos.Set(i.ID, upstreamInfo{service: service, slots: capacity, timeout: timeout})
	}
}

// SetConfirmedUntil sets until when the store's confirmation of this entry's
// registration is valid. When the former confirmation has expired, idle slots
// without a recent acknowledgement by another home are returned and this entry's
// lenders are reset, since other entries may have become the homes meanwhile.
func (p *Placer) SetConfirmedUntil(until, now time.Time) {
	if !now.Before(p.confirmedUntil.Get()) {
		p.lenders.Reset()
	}
	p.confirmedUntil.Update(func(time.Time) (time.Time, bool) { return until, true })
	p.services.Range(func(_ string, state *serviceShard) bool {
		state.mu.Lock()
		state.service.returnUnconfirmed(now)
		state.service.confirmedUntil = until
		state.mu.Unlock()
		return true
	})
}

// Acquire starts t at once, queues it or refuses it. The receiver of a queued
// ticket is called later.
func (p *Placer) Acquire(service string, t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	state, ok := p.services.Get(service)
	if !ok {
		return Start{}, admission.NoInstanceLeft
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.service.acquire(t, now)
}

// Withdraw removes a queued ticket. It returns false when the ticket is no longer
// queued and its receiver was called.
func (p *Placer) Withdraw(service string, t *admission.Ticket) bool {
	state, ok := p.services.Get(service)
	if !ok {
		return false
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.service.withdraw(t)
}

// Release ends a started request: it frees the slot, corrects the charge, records
// the upstream's health and starts queued requests.
func (p *Placer) Release(service string, e Completion, now time.Time) {
	state, ok := p.services.Get(service)
	if !ok {
		return
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	state.service.release(e, now)
}

// Tick does the work that depends on the time alone: it frees the slots of
// requests that have timed out, returns slots whose confirmation has expired, and
// sheds or starts queued requests. It is called several times a second.
func (p *Placer) Tick(now time.Time) {
	p.services.Range(func(_ string, state *serviceShard) bool {
		state.mu.Lock()
		state.service.tick(now)
		state.mu.Unlock()
		return true
	})
}

// SetFixedSlots gives this entry a fixed number of slots of each upstream, for
// use without other entries.
func (p *Placer) SetFixedSlots(held func(upstream string) int) {
	p.services.Range(func(_ string, state *serviceShard) bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		for _, u := range state.service.upstreams {
			u.holding.Held = held(u.instance.ID)
			u.holding.Target = u.holding.Held
		}
		return true
	})
}

// SetView sets the entries that this entry knows of. It fills in the fields Self
// and ProcessAge of view.
func (p *Placer) SetView(view slots.View, now time.Time) {
	view.Self, view.ProcessAge = p.self.Entry, now.Sub(p.startedAt)
	p.view.Update(func(*slots.View) (*slots.View, bool) { return &view, true })
}
