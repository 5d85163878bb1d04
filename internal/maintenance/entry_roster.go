package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// EntryRoster is the single record of the entries that may act on the records
// of instances. Lost entries stay in it, so that both sides of a network
// partition count the same entries and at most one side continues. The holder
// of the control lease replaces the record by compare-and-swap.
type EntryRoster struct {
	Entries []RosterEntry `json:"entries"` // ordered by entry
	Version uint64        `json:"-"`       // of the record in the store; 0: not stored yet
}

// Contains reports whether the entry is in the roster, lost or not.
func (r EntryRoster) Contains(entry string) bool {
	return slices.ContainsFunc(r.Entries, func(e RosterEntry) bool { return e.Entry == entry })
}

// Matches reports whether the entries that the roster shows as not lost are
// exactly the registered ones.
func (r EntryRoster) Matches(reports []EntryReport) bool {
	present := 0
	for _, e := range r.Entries {
		if e.Lost.IsZero() {
			present++
		}
	}
	for _, report := range reports {
		if !report.Registered {
			continue
		}
		i := slices.IndexFunc(r.Entries, func(e RosterEntry) bool { return e.Entry == report.Entry })
		if i < 0 || !r.Entries[i].Lost.IsZero() {
			return false
		}
		present--
	}
	return present == 0
}

// Update returns the roster that follows from the reports of all entries that
// are registered or known, and whether it differs from r. An entry that
// announced its shutdown is removed at once, a lost one after lostFor.
func (r EntryRoster) Update(now time.Time, reports []EntryReport, lostFor time.Duration) (EntryRoster, bool) {
	next := EntryRoster{Version: r.Version}
	byEntry := make(map[string]EntryReport, len(reports))
	for _, report := range reports {
		byEntry[report.Entry] = report
		if report.Registered && !r.Contains(report.Entry) {
			next.Entries = append(next.Entries, RosterEntry{Entry: report.Entry, Since: now})
		}
	}
	for _, e := range r.Entries {
		if updated, stays := e.update(now, byEntry[e.Entry], lostFor); stays {
			next.Entries = append(next.Entries, updated)
		}
	}
	slices.SortFunc(next.Entries, func(a, b RosterEntry) int { return strings.Compare(a.Entry, b.Entry) })
	return next, !slices.Equal(r.Entries, next.Entries)
}

// update returns e as it follows from the report of its entry, and whether it
// stays in the roster.
func (e RosterEntry) update(now time.Time, report EntryReport, lostFor time.Duration) (RosterEntry, bool) {
	switch {
	case report.Registered:
		e.Lost = zeroTime
	case e.Lost.IsZero():
		e.Lost = now
		return e, !report.Leaving
	}
	return e, e.Lost.IsZero() || !report.Leaving && now.Sub(e.Lost) <= lostFor
}

// LostOutnumbered reports whether the lost entries can't act as a majority of
// their own: at least as many present entries are known to every lost one as
// there are lost ones. An entry acts by the roster that it last read, and only
// if that roster contains it. A lost entry therefore knows each entry that was
// added no later than itself, and each one that had been in the roster for
// knownFor when the first entry was lost.
func (r EntryRoster) LostOutnumbered(knownFor time.Duration) bool {
	l := r.losses()
	known := 0
	for _, e := range r.Entries {
		if e.Lost.IsZero() && (!e.Since.After(l.firstAdded) || l.firstLost.Sub(e.Since) >= knownFor) {
			known++
		}
	}
	return known >= l.count
}

func (r EntryRoster) losses() losses {
	var l losses
	for _, e := range r.Entries {
		if e.Lost.IsZero() {
			continue
		}
		if l.count == 0 || e.Lost.Before(l.firstLost) {
			l.firstLost = e.Lost
		}
		if l.count == 0 || e.Since.Before(l.firstAdded) {
			l.firstAdded = e.Since
		}
		l.count++
	}
	return l
}

// blocker returns why moves and reboots wait for lost entries, or an empty
// string.
func (r EntryRoster) blocker(p Policy) string {
	if r.LostOutnumbered(p.KnownFor) {
		return ""
	}
	var lost []string
	var last time.Time
	for _, e := range r.Entries {
		if e.Lost.IsZero() {
			continue
		}
		lost = append(lost, e.Entry)
		if e.Lost.After(last) {
			last = e.Lost
		}
	}
	return fmt.Sprintf("the entries %s are lost and may still send work from the other side of a network partition; moves and reboots wait until enough of them are registered again or, at the latest, until %s",
		strings.Join(lost, ", "), last.Add(p.LostFor).UTC().Format(time.RFC3339))
}
