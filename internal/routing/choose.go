package routing

// Choose returns the index of the candidate to use: in the same availability
// zone while there is room, else anywhere; the one with most room, then the
// least busy. offset rotates which of equals is taken. It returns -1 when none
// has room.
func Choose(candidates []Candidate, zone string, offset int) int {
	best := -1
	for i := range candidates {
		j := (i + offset) % len(candidates)
		if candidates[j].Free > 0 && (best < 0 || better(&candidates[j], &candidates[best], zone)) {
			best = j
		}
	}
	return best
}

func better(a, b *Candidate, zone string) bool {
	if (a.AvailabilityZone == zone) != (b.AvailabilityZone == zone) {
		return a.AvailabilityZone == zone
	}
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.InUse < b.InUse
}
