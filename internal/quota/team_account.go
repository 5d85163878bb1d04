package quota

import "time"

// teamAccount is what one pool's owner knows of a team's account.
type teamAccount struct {
	account  Account
	revision int64  // of account; 0: the store has none
	others   others // by account
	turn     int    // that the pool has in account, or would get
	known    bool   // the store was read
	// usable is the part of the pool's grant that it may count on. It is less than the
	// account shows after a write of a lower grant whose outcome is unknown.
	usable          Amount
	peak            peak
	cap             Amount
	slice           Amount
	limit           Limit
	absent          map[string]time.Time // since when pools with a grant have not been in the configuration
	absentCheckedAt time.Time
	refusal         bool // the last raise was refused in part
	below           bool // all grants together exceeded the cap
	asked           bool // another pool is short, and this one has a grant
}

// observe records the account at a revision, unless that or a later one is known. No earlier
// write can be applied after that, so the whole grant can be counted on. Revision 0: the
// account does not exist, or does not any more. What a later owner of the pool has raised is
// for that owner alone: the former one may act on for a while.
func (t *teamAccount) observe(pool string, owner int64, a Account, revision int64) {
	if t.known && revision <= t.revision && (revision > 0 || t.revision == 0) {
		return
	}
	t.account, t.revision, t.known = a, revision, true
	t.others, t.turn = a.othersOf(pool), a.turn(pool)
	g := a.Pools[pool]
	if g.Owner > owner {
		t.usable = t.usable.Min(g.Granted)
	} else {
		t.usable = g.Granted
	}
}

// dropAbsent returns the account without the grants of pools that have not been in the
// configuration for absentFor, and whether there are any.
func (t *teamAccount) dropAbsent(pools map[string]bool, now time.Time) (a Account, dropped bool) {
	if now.Sub(t.absentCheckedAt) >= absentCheckInterval {
		t.absentCheckedAt = now
		t.noteAbsent(pools, now)
	}
	a = t.account
	for name, since := range t.absent {
		if now.Sub(since) >= absentFor {
			a, dropped = a.With(name, Grant{}), true
		}
	}
	return a, dropped
}

// noteAbsent notes since when pools with a grant have not been in the configuration.
func (t *teamAccount) noteAbsent(pools map[string]bool, now time.Time) {
	absent := make(map[string]time.Time)
	for name := range t.account.Pools {
		if pools[name] {
			continue
		}
		since, noted := t.absent[name]
		if !noted {
			since = now
		}
		absent[name] = since
	}
	t.absent = absent
}

// absentCheckInterval spares a look at all pools with each decision.
const absentCheckInterval = time.Second

// absentFor is how long after a pool has left the configuration its grants are returned: by
// then its last owner has noticed, late starts have been carried out and the leases of all
// runs have expired.
const absentFor = 45 * time.Second
