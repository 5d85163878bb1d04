package slots

// Divide splits capacity among holders and returns each one's target. It serves
// needs first (work within guaranteed shares), then the remaining demands, and
// spreads the rest evenly. Each step is max-min fair: a holder gets another slot
// only if no holder that wants more has fewer. Remainders go to the holders
// that come first.
func Divide(capacity int, needs, demands []int) []int {
	targets := make([]int, len(needs))
	left := fill(targets, needs, capacity)
	unmet, extra := make([]int, len(needs)), make([]int, len(needs))
	for i := range demands {
		unmet[i] = max(demands[i]-targets[i], 0)
	}
	left = fill(extra, unmet, left)
	for i := range targets {
		targets[i] += extra[i]
	}
	spread(targets, left)
	return targets
}

// fill raises targets towards wants in rounds of one slot each and returns how
// many of the left slots remain.
func fill(targets, wants []int, left int) int {
	for given := true; given && left > 0; {
		given = false
		for i := range wants {
			if targets[i] < wants[i] && left > 0 {
				targets[i]++
				left--
				given = true
			}
		}
	}
	return left
}

// spread adds the left slots to targets, each to the lowest one.
func spread(targets []int, left int) {
	for ; left > 0 && len(targets) > 0; left-- {
		least := 0
		for i := range targets {
			if targets[i] < targets[least] {
				least = i
			}
		}
		targets[least]++
	}
}
