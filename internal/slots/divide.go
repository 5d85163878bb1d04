package slots

// Divide shares capacity among holders: first what each needs within its
// guaranteed shares, then what each could use besides, and last what nobody
// asked for, evenly. In each step no one gets more while another that asks has
// got less. The first ones get the remainders.
func Divide(capacity int, needs, demands []int) []int {
	targets := make([]int, len(needs))
	left := fill(targets, needs, capacity)
	besides, extra := make([]int, len(needs)), make([]int, len(needs))
	for i := range demands {
		besides[i] = max(demands[i]-targets[i], 0)
	}
	left = fill(extra, besides, left)
	for i := range targets {
		targets[i] += extra[i]
	}
	spread(targets, left)
	return targets
}

// fill raises targets towards wants one by one and returns what is left.
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
