package dispatch

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

// Placer places the requests of all services of one entry. The state of each
// service is a shard of its own with its own lock; nothing is shared between
// two of them.
type Placer struct {
	self           slots.Holder
	startedAt      time.Time
	zone           string
	newOrder       func(admission.Shares) admission.Order
	services       *shard.Map[string, *serviceShard] // by service
	known          *shard.Map[string, place]         // by upstream
	view           *shard.Cell[*slots.View]
	confirmedUntil *shard.Cell[time.Time] // until when the store's confirmation holds
	lenders        *slots.Lenders
	seq            *shard.Cell[uint64]
	rounds         allowance // used by NextBatches and ReturnIdle alone
	settling       allowance // used by NextBatches alone
}

// NewPlacer returns a placer without services, of a process that began at
// born. newOrder makes the order of admission of a service.
func NewPlacer(self slots.Holder, zone string, born time.Time, newOrder func(admission.Shares) admission.Order) *Placer {
	p := &Placer{
		self: self, startedAt: born, zone: zone, newOrder: newOrder,
		services:       shard.NewMap[string, *serviceShard](),
		known:          shard.NewMap[string, place](),
		view:           shard.NewCell[*slots.View](nil),
		confirmedUntil: shard.NewCell(time.Time{}),
		seq:            shard.NewCell(uint64(0)),
		rounds:         newAllowance(roundsAtOnce, born),
		settling:       newAllowance(settlingRoundsAtOnce, born),
	}
	p.lenders = slots.NewLenders(self, p.view, p.confirmedUntil, p.terms)
	return p
}

// overMargin is added to the longest time of a request before its slot is used
// again without its holder's word.
const overMargin = time.Second

func (p *Placer) terms(upstream string) (slots.Terms, bool) {
	at, ok := p.known.Get(upstream)
	return slots.Terms{Capacity: at.slots, DrainTimeout: at.timeout + overMargin}, ok
}

// Configure puts a configuration in force.
func (p *Placer) Configure(c *configuration.Configuration) {
	shares := admission.SharesOf(c)
	for i := range c.Services {
		s := &c.Services[i]
		at := p.services.GetOrCreate(s.Name, func() *serviceShard {
			return &serviceShard{service: service{zone: p.zone, order: p.newOrder(shares)}}
		})
		at.mu.Lock()
		at.service.timeout, at.service.capacity = s.Timeout, s.Slots
		at.service.order.Reweigh(shares)
		at.mu.Unlock()
	}
}

// SetInstances takes over the instances of a configured service that may receive new
// work.
func (p *Placer) SetInstances(service string, instances []fleet.Instance, now time.Time) {
	at, ok := p.services.Get(service)
	if !ok {
		return
	}
	at.mu.Lock()
	at.service.list(instances)
	at.service.pump(now)
	timeout, capacity := at.service.timeout, at.service.capacity
	at.mu.Unlock()
	for _, i := range instances {
		p.known.Set(i.ID, place{service: service, slots: capacity, timeout: timeout})
	}
}

// SetConfirmedUntil sets until when the store's confirmation of this entry's registration
// holds. After a gap, slots that no home vouched for meanwhile are handed back
// first, and this entry's lenders start anew: others may have taken over.
func (p *Placer) SetConfirmedUntil(until, now time.Time) {
	if !now.Before(p.confirmedUntil.Get()) {
		p.lenders.Reset()
	}
	p.confirmedUntil.Update(func(time.Time) (time.Time, bool) { return until, true })
	p.services.Range(func(_ string, at *serviceShard) bool {
		at.mu.Lock()
		at.service.endConfirmation(now)
		at.service.confirmedUntil = until
		at.mu.Unlock()
		return true
	})
}

// Acquire starts t at once, queues it or refuses it. A queued ticket's
// receiver is told later.
func (p *Placer) Acquire(service string, t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	at, ok := p.services.Get(service)
	if !ok {
		return Start{}, admission.NoneLeft
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.service.acquire(t, now)
}

// Withdraw forgets a queued ticket. When it returns false the receiver was
// told already.
func (p *Placer) Withdraw(service string, t *admission.Ticket) bool {
	at, ok := p.services.Get(service)
	if !ok {
		return false
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.service.withdraw(t)
}

// Release ends a started request.
func (p *Placer) Release(service string, e End, now time.Time) {
	at, ok := p.services.Get(service)
	if !ok {
		return
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	at.service.release(e, now)
}

// Tick does what falls due with time alone.
func (p *Placer) Tick(now time.Time) {
	p.services.Range(func(_ string, at *serviceShard) bool {
		at.mu.Lock()
		at.service.tick(now)
		at.mu.Unlock()
		return true
	})
}

// SetFixedSlots gives this entry a fixed number of slots of each upstream, without
// borrowing.
func (p *Placer) SetFixedSlots(held func(upstream string) int) {
	p.services.Range(func(_ string, at *serviceShard) bool {
		at.mu.Lock()
		defer at.mu.Unlock()
		for _, u := range at.service.upstreams {
			u.holding.Held = held(u.instance.ID)
			u.holding.Target = u.holding.Held
		}
		return true
	})
}

// SetView takes over who the entries are. Who sees, and its age, are filled in here.
func (p *Placer) SetView(view slots.View, now time.Time) {
	view.Self, view.ProcessAge = p.self.Entry, now.Sub(p.startedAt)
	p.view.Update(func(*slots.View) (*slots.View, bool) { return &view, true })
}
