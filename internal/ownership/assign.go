package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Assign gives each service to one of the members, by name: to the one that
// carries the least for its weight, and among equals by the highest hash of both
// names. All who know the same members and services come to the same result.
func Assign(services []string, members []Member) map[string]string {
	owners := make(map[string]string, len(services))
	if len(members) == 0 {
		return owners
	}
	sorted := append([]string(nil), services...)
	sort.Strings(sorted)
	load := make(map[string]int, len(members))
	for _, s := range sorted {
		best := members[0]
		for _, m := range members[1:] {
			if before(s, m, best, load) {
				best = m
			}
		}
		owners[s] = best.Name
		load[best.Name]++
	}
	return owners
}

func before(service string, m, other Member, load map[string]int) bool {
	mine, others := float64(load[m.Name]+1)/m.weight(), float64(load[other.Name]+1)/other.weight()
	if mine != others {
		return mine < others
	}
	a, b := score(service, m.Name), score(service, other.Name)
	if a != b {
		return a > b
	}
	return m.Name < other.Name
}

func score(service, member string) uint64 { return xxhash.Sum64String(service + "\x00" + member) }
