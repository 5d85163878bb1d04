package entry

import (
	"time"

	"persimmonbay/internal/membership"
)

// Timing of the confirmation of this entry's registration.
const (
	outageCheckInterval = time.Second // between two checks for an outage of the store
	renewalShare        = 40          // percentage of a lease's time to live within which it is renewed
)

// confirm records that the store confirmed this entry's registration in answer to
// a call made at since. first reports that no registration of its ID existed
// before.
func (sm *slotManager) confirm(since time.Time, first bool) {
	sm.registration.Update(func(s registrationStatus) (registrationStatus, bool) {
		s.noPredecessor = s.noPredecessor || first && s.confirmed.IsZero()
		s.confirmed = since
		return s, true
	})
}

// confirmedUntil returns until when this entry counts as registered: a lease's time
// after the store confirmed it, or longer during an outage of the store.
func (sm *slotManager) confirmedUntil(now time.Time) time.Time {
	confirmed := sm.registration.Get().confirmed
	until := confirmed.Add(sm.entry.settings.Membership.LeaseTTL)
	if next := now.Add(outageCheckInterval); until.Before(next) && sm.outage(now) {
		return next // before the old confirmation lapses, so that there is no gap
	}
	return until
}

// outage reports whether the store is out of service for most of the entries:
// they send heartbeats to this entry, and the store has confirmed none of them so
// late that it may have seen this entry's registration lapse. A smaller group does not
// suffice: it may be cut off together, while the other entries lend its slots
// again. Whether the store is reachable now does not decide: each entry needs some
// time to tell an outage from a lost answer, and a watch call may end without an
// error during an outage.
func (sm *slotManager) outage(now time.Time) bool {
	members := sm.entry.members.Members()
	alive := 0
	for _, m := range members {
		if m.Alive(now, sm.entry.settings.Membership.SuspectAfter) {
			alive++
			if sm.mayHaveSeenLapse(m, now) {
				return false
			}
		}
	}
	entries, together := len(members)+1, alive+1 // with this one
	return 2*together > entries
}

// reachesStore reports whether a member reaches the store, judged by its last
// heartbeat: the member reports the store as reachable and was confirmed within
// renewalDue, or it may have seen this entry's registration lapse.
func (sm *slotManager) reachesStore(m membership.Member, now time.Time) bool {
	if m.StoreReachable && now.Sub(m.Confirmed) <= sm.renewalDue() {
		return true
	}
	return !sm.registration.Get().confirmed.IsZero() && sm.mayHaveSeenLapse(m, now)
}

// mayHaveSeenLapse reports whether a member was confirmed so late that it may still
// have reached the store when this entry's registration lapsed there. A member
// that was confirmed earlier, and not again within renewalDue, did not reach it by
// then, however long before this entry missed a renewal.
func (sm *slotManager) mayHaveSeenLapse(m membership.Member, now time.Time) bool {
	ttl := sm.entry.settings.Membership.LeaseTTL
	confirmed := sm.registration.Get().confirmed
	if confirmed.IsZero() {
		confirmed = now.Add(-ttl)
	}
	return m.Confirmed.Sub(confirmed) > ttl-sm.renewalDue()
}

// renewalDue returns the time within which a registration is confirmed again in
// normal operation.
func (sm *slotManager) renewalDue() time.Duration {
	return sm.entry.settings.Membership.LeaseTTL * renewalShare / 100
}

// registrationsUnreliable reports whether the store's list of registered entries
// is to be ignored: in an outage registrations lapse although the entries live.
func (sm *slotManager) registrationsUnreliable(now time.Time) bool {
	return now.Sub(sm.registration.Get().confirmed) > sm.renewalDue() && sm.outage(now)
}
