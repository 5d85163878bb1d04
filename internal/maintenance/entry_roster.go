package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// EntryRoster is the one record of the entries that may act on records of
// instances. Lost ones stay in it, so that those who lost them and they
// themselves count the same entries: of two sides of a cut at most one goes on.
// Whoever holds the control lease replaces it by compare-and-swap.
type EntryRoster struct {
	Entries []RosterEntry `json:"entries"` // ordered by entry
	Version uint64        `json:"-"`       // of the record in the store; 0: not stored yet
}

// Names reports whether the roster holds the entry, lost or not.
func (r EntryRoster) Names(entry string) bool {
	return slices.ContainsFunc(r.Entries, func(e RosterEntry) bool { return e.Entry == entry })
}

// Matches reports whether the roster shows just the registered entries as not
// lost.
func (r EntryRoster) Matches(words []EntryReport) bool {
	present := 0
	for _, e := range r.Entries {
		if e.Lost.IsZero() {
			present++
		}
	}
	for _, w := range words {
		if !w.Registered {
			continue
		}
		i := slices.IndexFunc(r.Entries, func(e RosterEntry) bool { return e.Entry == w.Entry })
		if i < 0 || !r.Entries[i].Lost.IsZero() {
			return false
		}
		present--
	}
	return present == 0
}

// Update returns the roster that follows from the words of all entries that
// are registered or known, and whether it differs. An entry that left as it
// said is dropped at once, a lost one after lostFor.
func (r EntryRoster) Update(now time.Time, words []EntryReport, lostFor time.Duration) (EntryRoster, bool) {
	next := EntryRoster{Version: r.Version}
	byEntry := make(map[string]EntryReport, len(words))
	for _, w := range words {
		byEntry[w.Entry] = w
		if w.Registered && !r.Names(w.Entry) {
			next.Entries = append(next.Entries, RosterEntry{Entry: w.Entry, Since: now})
		}
	}
	for _, e := range r.Entries {
		if after, stays := e.follow(now, byEntry[e.Entry], lostFor); stays {
			next.Entries = append(next.Entries, after)
		}
	}
	slices.SortFunc(next.Entries, func(a, b RosterEntry) int { return strings.Compare(a.Entry, b.Entry) })
	return next, !slices.Equal(r.Entries, next.Entries)
}

// follow returns what becomes of e, and whether it stays.
func (e RosterEntry) follow(now time.Time, w EntryReport, lostFor time.Duration) (RosterEntry, bool) {
	switch {
	case w.Registered:
		e.Lost = zeroTime
	case e.Lost.IsZero():
		e.Lost = now
		return e, !w.Leaving
	}
	return e, e.Lost.IsZero() || !w.Leaving && now.Sub(e.Lost) <= lostFor
}

// Outnumbered reports whether the lost entries can not go on together: those
// that all of them know, and that are here, are as many as they are. An entry
// acts by the roster that it last saw, and only if that names it. So it knows
// those who were named no later than it was, and those who were there for
// knownFor before the first one was lost.
func (r EntryRoster) Outnumbered(knownFor time.Duration) bool {
	l := r.losses()
	known := 0
	for _, e := range r.Entries {
		if e.Lost.IsZero() && (!e.Since.After(l.named) || l.first.Sub(e.Since) >= knownFor) {
			known++
		}
	}
	return known >= l.entries
}

func (r EntryRoster) losses() losses {
	var l losses
	for _, e := range r.Entries {
		if e.Lost.IsZero() {
			continue
		}
		if l.entries == 0 || e.Lost.Before(l.first) {
			l.first = e.Lost
		}
		if l.entries == 0 || e.Since.Before(l.named) {
			l.named = e.Since
		}
		l.entries++
	}
	return l
}

// hold says why moves and reboots wait for lost entries, or nothing.
func (r EntryRoster) hold(p Policy) string {
	if r.Outnumbered(p.KnownFor) {
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
	return fmt.Sprintf("the entries %s are lost and may go on by themselves, cut off; moves and reboots wait until enough of them are back or, at the latest, until %s",
		strings.Join(lost, ", "), last.Add(p.LostFor).UTC().Format(time.RFC3339))
}
