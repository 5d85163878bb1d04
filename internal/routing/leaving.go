package routing

import (
	"time"

	"persimmonbay/internal/shard"
)

// leavingFor bounds how long an instance's own word keeps work away from it
// while the platform says nothing new of it.
const leavingFor = 5 * time.Minute

// Leaving holds the instances that said themselves that they are leaving, in
// shards by instance, each under its own lock.
type Leaving struct {
	departures *shard.Map[string, departure]
}

// NewLeaving returns an empty set.
func NewLeaving() *Leaving { return &Leaving{departures: shard.NewMap[string, departure]()} }

// Mark notes an instance's word, heard first-hand or passed on by a peer, and
// reports whether that was news. A word of the future counts as one of now.
func (l *Leaving) Mark(m LeavingMark, now time.Time) (news bool) {
	if m.ReceivedAt.After(now) {
		m.ReceivedAt = now
	}
	l.departures.Update(m.Instance, func(d departure, ok bool) (departure, bool) {
		news = !d.holds(now)
		if m.ReceivedAt.After(d.heard) {
			d.heard = m.ReceivedAt
		}
		news = news && d.holds(now)
		return d, ok || news
	})
	return news
}

// Listed notes whether the platform's latest list has the instance live. One
// that comes back after it was away is trusted again.
func (l *Leaving) Listed(instance string, live bool, now time.Time) {
	l.departures.Update(instance, func(d departure, ok bool) (departure, bool) {
		if live && d.away {
			d.returned = now
		}
		d.away = !live
		return d, ok
	})
}

// Holds reports whether the instance's own word keeps work away from it.
func (l *Leaving) Holds(instance string, now time.Time) bool {
	d, _ := l.departures.Get(instance)
	return d.holds(now)
}

// Marks returns the words that hold at now, and drops what no longer matters.
func (l *Leaving) Marks(now time.Time) []LeavingMark {
	var marks []LeavingMark
	l.departures.Range(func(instance string, d departure) bool {
		if d.holds(now) {
			marks = append(marks, LeavingMark{Instance: instance, ReceivedAt: d.heard})
			return true
		}
		l.departures.Update(instance, func(d departure, ok bool) (departure, bool) {
			return d, ok && now.Before(d.heard.Add(leavingFor))
		})
		return true
	})
	return marks
}
