package scheduler

import "time"

// maxEvents bounds the events that wait for TakeEvents.
const maxEvents = maxRunEvents + 512

// TakeEvents returns the events since the last call, and removes them.
func (p *Pool) TakeEvents() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.events
	p.events = nil
	return events
}

// addEvent adds an event at now. Beyond maxEvents it only counts the event.
func (p *Pool) addEvent(e Event, now time.Time) {
	if len(p.events) >= maxEvents {
		p.counts.Untold++
		return
	}
	e.OwnedFor = now.Sub(p.takenAt)
	p.events = append(p.events, e)
}
