package latecalls

// violation is a pair of runs of one task that breaks the rule TWICE.
type violation struct {
	first, second *taskRun
	overlap       bool // both ran at the same time; otherwise the first one counts as done
}
