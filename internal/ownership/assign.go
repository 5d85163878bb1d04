package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Assign returns the owner of each service. In the order of their names, each
// service goes to the member with the lowest load in proportion to its weight, and
// among equals to the one with the highest hash of both names. The result is the
// same wherever it is computed from the same members and services.
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

// before reports whether m rather than other gets the service, given the number of
// services that each has already.
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

// score is the rendezvous weight of a member for a service.
func score(service, member string) uint64 { return xxhash.Sum64String(service + "\x00" + member) }
