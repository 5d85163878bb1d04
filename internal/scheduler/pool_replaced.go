package scheduler

import "time"

// otherAtAddress records that a worker with another ID answers at the worker's address.
func (p *Pool) otherAtAddress(w *worker, now time.Time) {
	p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: w.info.ID}, now)
	p.replaceWorker(w)
}

// replaceWorker records that a worker with another ID has answered in the place of w. It
// refuses all calls that name the former ID, so none of its open starts is carried out.
func (p *Pool) replaceWorker(w *worker) {
	w.replaced = true
	p.markSuperseded(w)
	p.openStarts.closeOver(func(s *openStart) bool { return s.worker == w.info.ID }, p.releaseOpenStart)
}

// markSuperseded records that the worker's incarnation has ended, because another
// one runs at its address or on its machine. If the outcome of a poll is not known yet,
// the worker's runs stay until then: its reply may list ends.
func (p *Pool) markSuperseded(w *worker) {
	w.lost = true
	w.reachable = false
	if w.polledAt.IsZero() {
		p.incarnationEnded(w)
	}
}
