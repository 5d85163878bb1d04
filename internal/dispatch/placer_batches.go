package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// NextBatches returns the batches to be sent to other entries now. It applies
// the batch that this entry has for itself as a home at once. routine is set
// from time to time, and makes reports of lower demand due as well. Only one
// goroutine at a time may call it.
func (p *Placer) NextBatches(now time.Time, routine bool) []OutgoingBatch {
	view := p.view.Get()
	bucket, all := p.roundBucket(now)
	if view == nil || bucket == nil {
		return nil
	}
	batches := make(map[membership.EntryID]*OutgoingBatch)
	p.services.Range(func(name string, state *serviceShard) bool {
		p.addReports(name, state, view, batches, now, routine, all)
		return true
	})
	p.addRecalls(view, batches, now, all)
	if own, ok := batches[p.self.Entry]; ok {
		delete(batches, p.self.Entry)
		loans, _ := p.AnswerBatch(own.Batch, now)
		p.ApplyLoans(*own, loans, now)
	}
	if len(batches) > 0 {
		bucket.take()
	}
	outgoing := make([]OutgoingBatch, 0, len(batches))
	for _, m := range view.Members {
		if b, ok := batches[m]; ok {
			outgoing = append(outgoing, *b)
		}
	}
	return outgoing
}

// roundBucket returns the bucket that a round at now takes its token from, nil
// when no round is allowed, and whether the round may carry all reports or only
// the urgent ones.
func (p *Placer) roundBucket(now time.Time) (bucket *tokenBucket, all bool) {
	demand, settling := p.rounds.refill(now), p.settling.refill(now)
	switch {
	case demand:
		return &p.rounds, true
	case settling:
		return &p.settling, false
	}
	return nil, false
}

// addReports adds the reports that are due for one service to batches. When an
// upstream's home moves away from this entry, its lender is dropped before the
// holding gets its new home, and so before a report with the handover is sent.
func (p *Placer) addReports(name string, state *serviceShard, view *slots.View, batches map[membership.EntryID]*OutgoingBatch, now time.Time, routine, all bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.service.members = len(view.Members)
	usable := state.service.updateNeeds(p.self.Entry, now)
	for _, u := range state.service.upstreams {
		id := u.instance.ID
		if home := view.Home(id); home != u.holding.Home() {
			var handover *slots.Handover
			if u.holding.Home() == p.self.Entry {
				handover = p.lenders.Drop(id, now)
			}
			u.holding.SetHome(home, handover)
		}
		wanted := 0
		if u.usable(now) {
			wanted = state.service.wanted(usable)
		}
		report, due := u.holding.NextReport(id, u.need, wanted, routine)
		if !due || !all && !u.holding.ReportUrgent(wanted) {
			continue
		}
		b := p.batchTo(batches, view, u.holding.Home(), now)
		u.holding.ReportSent(b.Batch.Seq, routine)
		b.Batch.Reports = append(b.Batch.Reports, report)
		b.services = append(b.services, name)
	}
}

// addRecalls adds the recalls that are due for this entry's own lenders.
func (p *Placer) addRecalls(view *slots.View, batches map[membership.EntryID]*OutgoingBatch, now time.Time, all bool) {
	for holder, recalls := range p.lenders.Recalls(now, all) {
		if view.Has(holder.Entry) {
			b := p.batchTo(batches, view, holder.Entry, now)
			b.Batch.Recalls = append(b.Batch.Recalls, recalls...)
		}
	}
}

// batchTo returns the batch for an entry, creating it when it is not in batches
// yet.
func (p *Placer) batchTo(batches map[membership.EntryID]*OutgoingBatch, view *slots.View, to membership.EntryID, now time.Time) *OutgoingBatch {
	if b, ok := batches[to]; ok {
		return b
	}
	var seq uint64
	p.seq.Update(func(n uint64) (uint64, bool) { seq = n + 1; return seq, true })
	b := &OutgoingBatch{To: to, CreatedAt: now, Batch: slots.Batch{From: p.self, ProcessAge: now.Sub(p.startedAt), NoPredecessor: view.NoPredecessor, Seq: seq}}
	batches[to] = b
	return b
}

// ReturnIdle returns every idle slot and lifts the limit on rounds, so that the
// following calls of NextBatches report the returned slots to their homes. It
// is called by the goroutine that calls NextBatches.
func (p *Placer) ReturnIdle() {
	p.rounds.removeLimit()
	p.services.Range(func(_ string, state *serviceShard) bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		for _, u := range state.service.upstreams {
			u.holding.ReturnIdle()
		}
		return true
	})
}

// AnswerBatch applies another entry's batch and returns the loans that answer
// its reports, in their order. freed reports whether a recall freed slots, which
// are to be reported to their homes.
func (p *Placer) AnswerBatch(b slots.Batch, now time.Time) (loans []slots.Loan, freed bool) {
	for _, r := range b.Recalls {
		info, ok := p.infos.Get(r.Upstream)
		if !ok {
			continue
		}
		p.onUpstream(info.service, r.Upstream, func(s *service, u *upstream) {
			before := u.holding.Held
			u.holding.Recall(b.From.Entry, r.Target)
			freed = freed || u.holding.Held < before
		})
	}
	return p.lenders.Answer(b, now), freed
}

// ApplyLoans applies the loans that answer a batch. An answer with a different
// number of loans than the batch has reports counts as lost.
func (p *Placer) ApplyLoans(o OutgoingBatch, loans []slots.Loan, now time.Time) {
	if len(loans) != len(o.Batch.Reports) {
		p.BatchLost(o)
		return
	}
	for i, report := range o.Batch.Reports {
		p.onUpstream(o.services[i], report.Upstream, func(s *service, u *upstream) {
			u.holding.ApplyLoan(o.To, o.Batch.Seq, report, loans[i], o.CreatedAt, o.To == p.self.Entry)
			if loans[i].Granted > 0 {
				s.startQueued(now)
			}
		})
	}
}

// BatchLost gives up a batch that got no usable answer. Its reports become due
// again.
func (p *Placer) BatchLost(o OutgoingBatch) {
	for i, report := range o.Batch.Reports {
		p.onUpstream(o.services[i], report.Upstream, func(_ *service, u *upstream) { u.holding.ReportLost(o.Batch.Seq) })
	}
}

// onUpstream calls do under the lock of the named service, if the upstream is
// known there.
func (p *Placer) onUpstream(name, id string, do func(*service, *upstream)) {
	state, ok := p.services.Get(name)
	if !ok {
		return
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if u := state.service.upstream(id); u != nil {
		do(&state.service, u)
	}
}
