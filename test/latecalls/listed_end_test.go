package latecalls

// listedEnd is an end that an incarnation lists until it is acknowledged.
type listedEnd struct {
	number int64
	how    string
	run    *taskRun
}
