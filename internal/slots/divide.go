package slots

// Divide shares capacity among demands so that no one gets more than it asks
// for while another that asks has less, and spreads what is left over evenly.
// The first ones get the remainders.
func Divide(capacity int, demands []int) []int {
	targets := make([]int, len(demands))
	for left := capacity; left > 0; {
		given := 0
		for i := range demands {
			if targets[i] < demands[i] && given < left {
				targets[i]++
				given++
			}
		}
		if given == 0 {
			spread(targets, left)
			return targets
		}
		left -= given
	}
	return targets
}

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
