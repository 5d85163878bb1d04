package scheduler

import "time"

// mostEvents bounds how many events wait to be read.
const maxEvents = 512

// TakeEvents returns what happened since it was last called.
func (p *Pool) TakeEvents() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.events
	p.events = nil
	return events
}

// addEvent notes an event at now; beyond the bound the event is only counted.
func (p *Pool) addEvent(e Event, now time.Time) {
	if len(p.events) >= maxEvents {
		p.counts.Untold++
		return
	}
	e.OwnedFor = now.Sub(p.takenAt)
	p.events = append(p.events, e)
}
