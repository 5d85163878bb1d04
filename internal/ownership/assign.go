package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Assign gives each service to one of the members: by the highest hash of both
// names, among the members that have the fewest. All who know the same members
// and services come to the same result.
func Assign(services, members []string) map[string]string {
	owners := make(map[string]string, len(services))
	if len(members) == 0 {
		return owners
	}
	sorted := append([]string(nil), services...)
	sort.Strings(sorted)
	load := make(map[string]int, len(members))
	for _, s := range sorted {
		owner := ""
		for _, m := range members {
			if owner == "" || before(s, m, owner, load) {
				owner = m
			}
		}
		owners[s] = owner
		load[owner]++
	}
	return owners
}

func before(service, m, other string, load map[string]int) bool {
	if load[m] != load[other] {
		return load[m] < load[other]
	}
	a, b := score(service, m), score(service, other)
	if a != b {
		return a > b
	}
	return m < other
}

func score(service, member string) uint64 { return xxhash.Sum64String(service + "\x00" + member) }
