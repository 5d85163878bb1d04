package membership

import "time"

// clockPeriod is how long the earliest apparent start of a process counts, at least; twice as
// long at most. Clocks of two machines drift by some milliseconds in that time.
const clockPeriod = time.Minute

// senderClock relates the steady clock of another entry's process to this entry's. Each message
// holds the sender's time since its start, so it gives an apparent start, too late by the
// message's delay; the earliest is that of the least delayed message.
type senderClock struct {
	incarnation     uint64
	start, previous time.Time // earliest apparent start in this period, and in the one before
	since           time.Time // begin of the period
}

// observe takes in a message of an incarnation that was sent at uptime and is read at now. It
// returns when the message was sent, never after now.
func (c senderClock) observe(incarnation uint64, uptime time.Duration, now time.Time) (senderClock, time.Time) {
	if incarnation < c.incarnation {
		return c, now // of a former process; its heartbeats are ignored
	}
	apparent := now.Add(-uptime)
	if incarnation > c.incarnation || c.since.IsZero() {
		c = senderClock{incarnation: incarnation, start: apparent, previous: apparent, since: now}
	}
	if now.Sub(c.since) >= clockPeriod {
		c.previous, c.start, c.since = c.start, apparent, now
	}
	if apparent.Before(c.start) {
		c.start = apparent
	}
	if c.previous.Before(c.start) {
		return c, c.previous.Add(uptime)
	}
	return c, c.start.Add(uptime)
}
