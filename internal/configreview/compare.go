package configreview

import (
	"fmt"
	"slices"
	"strings"

	"persimmonbay/internal/poolconfig"
)

// Supersedes returns a finding if next would not replace inForce, and none otherwise.
func Supersedes(inForce, next *poolconfig.Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("%d is not higher than %d, that in force: takes no effect", next.Version, inForce.Version)}}
}

// Compare returns how next differs from inForce, apart from the version: queues, then
// pools, teams and limits, each sorted by name. Of entries with one name the first counts.
// Of more than 500 differences the last one returned gives the number of those left out.
func Compare(inForce, next *poolconfig.Configuration) []Difference {
	all := slices.Concat(
		compareEntries("queue", inForce.Queues, next.Queues, func(q *poolconfig.Queue) string { return q.Name }, queueFields),
		compareEntries("pool", inForce.Pools, next.Pools, func(p *poolconfig.Pool) string { return p.Service }, poolFields),
		compareEntries("team", inForce.Teams, next.Teams, func(t *poolconfig.Team) string { return t.Name }, teamFields),
	)
	if fields := limitFields(inForce.Limits, next.Limits); len(fields) > 0 {
		all = append(all, Difference{Changed, "limits", strings.Join(fields, ", ")})
	}
	if left := len(all) - maxListed + 1; left > 1 {
		all = append(all[:maxListed-1], Difference{Changed, "configuration", fmt.Sprintf("%d more differences", left)})
	}
	return all
}

// compareEntries returns the differences between the entries of one type, sorted by name.
func compareEntries[E any](label string, before, after []E, name func(*E) string, changed func(a, b *E) []string) []Difference {
	old, now := byName(before, name), byName(after, name)
	var names []string
	for n := range old {
		names = append(names, n)
	}
	for n := range now {
		if old[n] == nil {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var all []Difference
	for _, n := range names {
		place := label + " " + quoted(n)
		switch a, b := old[n], now[n]; {
		case a == nil:
			all = append(all, Difference{Added, place, ""})
		case b == nil:
			all = append(all, Difference{Removed, place, ""})
		default:
			if fields := changed(a, b); len(fields) > 0 {
				all = append(all, Difference{Changed, place, strings.Join(fields, ", ")})
			}
		}
	}
	return all
}

// byName returns the entries by their names; of those with one name, the first.
func byName[E any](entries []E, name func(*E) string) map[string]*E {
	found := make(map[string]*E, len(entries))
	for i := range entries {
		if n := name(&entries[i]); found[n] == nil {
			found[n] = &entries[i]
		}
	}
	return found
}
