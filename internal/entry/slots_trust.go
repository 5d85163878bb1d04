package entry

import (
	"time"

	"persimmonbay/internal/membership"
)

// Timing of the trust in the store's word.
const (
	outageCheckInterval = time.Second // between two looks at whether it is an outage
	renewalShare        = 40          // per cent of a lease's time within which it is renewed
)

// confirm notes that the store confirmed this entry's registration in answer to
// a call made at since. first says that no registration of its ID stood before.
func (k *slotKeeper) confirm(since time.Time, first bool) {
	k.standing.Update(func(s standing) (standing, bool) {
		s.clean = s.clean || first && s.confirmed.IsZero()
		s.confirmed = since
		return s, true
	})
}

// confirmedUntil returns until when this entry may count as registered: the store has
// confirmed it lately, or no entry that is heard reaches the store either.
func (k *slotKeeper) confirmedUntil(now time.Time) time.Time {
	confirmed := k.standing.Get().confirmed
	until := confirmed.Add(k.entry.settings.Membership.LeaseTTL)
	if next := now.Add(outageCheckInterval); until.Before(next) && k.outage(now) {
		return next // before the old word lapses, so that there is no gap
	}
	return until
}

// outage reports whether most of the entries are heard and the store has
// confirmed none of them since about when it last confirmed this one. A smaller
// group may be cut off together, from entries that lend its slots anew. Whether
// the store is in reach now is the wrong question: each entry takes some time to
// tell an outage from a lost answer, and a watch may end well in an outage.
func (k *slotKeeper) outage(now time.Time) bool {
	confirmed := k.standing.Get().confirmed
	if confirmed.IsZero() {
		confirmed = now.Add(-k.entry.settings.Membership.LeaseTTL)
	}
	members := k.entry.members.Members()
	heard := 0
	for _, m := range members {
		if m.Alive(now, k.entry.settings.Membership.SilentFor) {
			heard++
			if m.Confirmed.Sub(confirmed) > k.renewalDue() {
				return false
			}
		}
	}
	entries, together := len(members)+1, heard+1 // with this one
	return 2*together > entries
}

// reachesStore reports whether a member that is heard reaches the store, as far
// as its latest confirmation tells: it says so itself and was confirmed within
// a renewal's time, or was confirmed well after this entry.
func (k *slotKeeper) reachesStore(m membership.Member, now time.Time) bool {
	if m.StoreReachable && now.Sub(m.Confirmed) <= k.renewalDue() {
		return true
	}
	confirmed := k.standing.Get().confirmed
	return !confirmed.IsZero() && m.Confirmed.Sub(confirmed) > k.renewalDue()
}

// renewalDue is the time within which a registration is confirmed again while
// all is well.
func (k *slotKeeper) renewalDue() time.Duration {
	return k.entry.settings.Membership.LeaseTTL * renewalShare / 100
}

// unsettled reports whether the store's word on who is registered should be
// passed over: registrations lapse in an outage although the entries live.
func (k *slotKeeper) unsettled(now time.Time) bool {
	return now.Sub(k.standing.Get().confirmed) > k.renewalDue() && k.outage(now)
}
