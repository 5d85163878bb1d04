package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// NextBatches returns the batches that other entries must get now, and settles what
// this entry owes itself. routine is set once in a while to tell homes also of
// less demand. One goroutine at a time may call it.
func (p *Placer) NextBatches(now time.Time, routine bool) []OutgoingBatch {
	view := p.view.Get()
	rounds, every := p.allowed(now)
	if view == nil || rounds == nil {
		return nil
	}
	batches := make(map[membership.EntryID]*OutgoingBatch)
	p.services.Range(func(name string, at *serviceShard) bool {
		p.report(name, at, view, batches, now, routine, every)
		return true
	})
	p.recall(view, batches, now, every)
	if own, ok := batches[p.self.Entry]; ok {
		delete(batches, p.self.Entry)
		loans, _ := p.AnswerBatch(own.Batch, now)
		p.ApplyLoans(*own, loans, now)
	}
	if len(batches) > 0 {
		rounds.take()
	}
	outgoing := make([]OutgoingBatch, 0, len(batches))
	for _, m := range view.Members {
		if b, ok := batches[m]; ok {
			outgoing = append(outgoing, *b)
		}
	}
	return outgoing
}

// allowed returns the allowance that a round now is charged to, nil when there
// is none, and whether the round may tell everything or only what presses.
func (p *Placer) allowed(now time.Time) (rounds *allowance, every bool) {
	demand, settling := p.rounds.fill(now), p.settling.fill(now)
	switch {
	case demand:
		return &p.rounds, true
	case settling:
		return &p.settling, false
	}
	return nil, false
}

// report adds what is due for one service. A handover is taken from this
// entry's own lender before the holding moves, and so before the new home
// hears of it.
func (p *Placer) report(name string, at *serviceShard, view *slots.View, batches map[membership.EntryID]*OutgoingBatch, now time.Time, routine, every bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.service.members = len(view.Members)
	fit := at.service.claim(p.self.Entry, now)
	for _, u := range at.service.upstreams {
		id := u.instance.ID
		if home := view.Home(id); home != u.holding.Home() {
			var handover *slots.Handover
			if u.holding.Home() == p.self.Entry {
				handover = p.lenders.Drop(id, now)
			}
			u.holding.SetHome(home, handover)
		}
		wanted := 0
		if u.fit(now) {
			wanted = at.service.wanted(fit)
		}
		item, due := u.holding.NextReport(id, u.need, wanted, routine)
		if !due || !every && !u.holding.ReportUrgent(wanted) {
			continue
		}
		b := p.batch(batches, view, u.holding.Home(), now)
		u.holding.ReportSent(b.Batch.Seq, routine)
		b.Batch.Reports = append(b.Batch.Reports, item)
		b.services = append(b.services, name)
	}
}

func (p *Placer) recall(view *slots.View, batches map[membership.EntryID]*OutgoingBatch, now time.Time, every bool) {
	for holder, recalls := range p.lenders.Recalls(now, every) {
		if view.Has(holder.Entry) {
			b := p.batch(batches, view, holder.Entry, now)
			b.Batch.Recalls = append(b.Batch.Recalls, recalls...)
		}
	}
}

func (p *Placer) batch(batches map[membership.EntryID]*OutgoingBatch, view *slots.View, to membership.EntryID, now time.Time) *OutgoingBatch {
	if b, ok := batches[to]; ok {
		return b
	}
	var seq uint64
	p.seq.Update(func(n uint64) (uint64, bool) { seq = n + 1; return seq, true })
	b := &OutgoingBatch{To: to, At: now, Batch: slots.Batch{From: p.self, ProcessAge: now.Sub(p.startedAt), Clean: view.Clean, Seq: seq}}
	batches[to] = b
	return b
}

// ReturnIdle hands back every idle slot; NextBatches then tells the homes, in as many
// rounds as that takes. It is called by the goroutine that calls NextBatches.
func (p *Placer) ReturnIdle() {
	p.rounds.lift()
	p.services.Range(func(_ string, at *serviceShard) bool {
		at.mu.Lock()
		defer at.mu.Unlock()
		for _, u := range at.service.upstreams {
			u.holding.ReturnIdle()
		}
		return true
	})
}

// AnswerBatch answers another entry's batch. It reports whether a recall freed slots
// that their homes should hear of.
func (p *Placer) AnswerBatch(b slots.Batch, now time.Time) (loans []slots.Loan, freed bool) {
	for _, r := range b.Recalls {
		known, ok := p.known.Get(r.Upstream)
		if !ok {
			continue
		}
		p.onUpstream(known.service, r.Upstream, func(s *service, u *upstream) {
			before := u.holding.Held
			u.holding.Recall(b.From.Entry, r.Target)
			freed = freed || u.holding.Held < before
		})
	}
	return p.lenders.Answer(b, now), freed
}

// ApplyLoans takes in the loans that answer a batch.
func (p *Placer) ApplyLoans(o OutgoingBatch, loans []slots.Loan, now time.Time) {
	if len(loans) != len(o.Batch.Reports) {
		p.BatchLost(o)
		return
	}
	for i, item := range o.Batch.Reports {
		p.onUpstream(o.services[i], item.Upstream, func(s *service, u *upstream) {
			u.holding.ApplyLoan(o.To, o.Batch.Seq, item, loans[i], o.At, o.To == p.self.Entry)
			if loans[i].Granted > 0 {
				s.pump(now)
			}
		})
	}
}

// BatchLost gives up a batch whose answer has not come.
func (p *Placer) BatchLost(o OutgoingBatch) {
	for i, item := range o.Batch.Reports {
		p.onUpstream(o.services[i], item.Upstream, func(_ *service, u *upstream) { u.holding.ReportLost(o.Batch.Seq) })
	}
}

func (p *Placer) onUpstream(name, id string, do func(*service, *upstream)) {
	at, ok := p.services.Get(name)
	if !ok {
		return
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	if u := at.service.upstream(id); u != nil {
		do(&at.service, u)
	}
}
