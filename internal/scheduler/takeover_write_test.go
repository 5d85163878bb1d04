package scheduler_test

import "time"

// takeOverWrite is a call of the store whose outcome its owner learns later.
type takeOverWrite struct {
	at   time.Time
	then func()
}
