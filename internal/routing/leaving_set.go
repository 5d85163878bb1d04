package routing

import (
	"time"

	"persimmonbay/internal/shard"
)

// leavingValidity is how long an instance's report that it is leaving excludes it from
// new work, unless the platform's list shows earlier that it has returned.
const leavingValidity = 5 * time.Minute

// LeavingSet holds the instances that reported that they are leaving, in shards by
// instance, each under its own lock.
type LeavingSet struct {
	departures *shard.Map[string, departure]
}

// NewLeavingSet returns an empty set.
func NewLeavingSet() *LeavingSet { return &LeavingSet{departures: shard.NewMap[string, departure]()} }

// Mark records a report, received from the instance or forwarded by a peer, and
// returns whether it makes the instance leaving when it was not so before. A time
// in the future counts as now.
func (l *LeavingSet) Mark(m LeavingMark, now time.Time) (changed bool) {
	if m.ReceivedAt.After(now) {
		m.ReceivedAt = now
	}
	l.departures.Update(m.Instance, func(d departure, ok bool) (departure, bool) {
		changed = !d.active(now)
		if m.ReceivedAt.After(d.reportedAt) {
			d.reportedAt = m.ReceivedAt
		}
		changed = changed && d.active(now)
		return d, ok || changed
	})
	return changed
}

// RecordListed records whether the platform's latest list shows the instance live.
// An instance that is live again after the list had shown otherwise has returned,
// and its earlier reports no longer apply.
func (l *LeavingSet) RecordListed(instance string, live bool, now time.Time) {
	l.departures.Update(instance, func(d departure, ok bool) (departure, bool) {
		if live && d.unlisted {
			d.relistedAt = now
		}
		d.unlisted = !live
		return d, ok
	})
}

// IsLeaving reports whether the instance's report excludes it from new work at now.
func (l *LeavingSet) IsLeaving(instance string, now time.Time) bool {
	d, _ := l.departures.Get(instance)
	return d.active(now)
}

// Marks returns the reports that apply at now, and removes expired ones.
func (l *LeavingSet) Marks(now time.Time) []LeavingMark {
	var marks []LeavingMark
	l.departures.Range(func(instance string, d departure) bool {
		if d.active(now) {
			marks = append(marks, LeavingMark{Instance: instance, ReceivedAt: d.reportedAt})
			return true
		}
		l.departures.Update(instance, func(d departure, ok bool) (departure, bool) {
			return d, ok && now.Before(d.reportedAt.Add(leavingValidity))
		})
		return true
	})
	return marks
}
