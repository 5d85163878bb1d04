package answertime

import "time"

// Limits bound the timeouts. The zero value of Floor switches the package off: each
// timeout is then its ceiling.
type Limits struct {
	Floor   time.Duration // the shortest timeout: what the calling process needs when it is busy
	Ceiling time.Duration // the longest timeout, and the one that holds without samples
}

// Follow reports whether timeouts follow the answers.
func (l Limits) Follow() bool { return l.Floor > 0 }

// FloorOf returns the floor for a process with the given processor cores, where strong
// cores suffice for least: a weaker process reads answers later in proportion. Without a
// known number of cores it is least; it is longest at most.
func FloorOf(least, longest time.Duration, cores, strong float64) time.Duration {
	if cores <= 0 || cores >= strong {
		return least
	}
	return min(time.Duration(float64(least)*strong/cores), longest)
}
