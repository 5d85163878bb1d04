package routing

// Choose returns the index of the candidate to use, or -1 if none has free slots.
// It prefers candidates in the given availability zone, then those with most free
// slots, then those with the fewest requests in flight. offset rotates the choice
// among equals.
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

// better reports whether a is to be used rather than b.
func better(a, b *Candidate, zone string) bool {
	if (a.AvailabilityZone == zone) != (b.AvailabilityZone == zone) {
		return a.AvailabilityZone == zone
	}
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.InUse < b.InUse
}
