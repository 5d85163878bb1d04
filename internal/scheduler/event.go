package scheduler

import (
	"time"

	"persimmonbay/internal/places"
)

// Event describes a rare change that is logged, so that the logs show which
// incarnations of workers and which owners of a pool were involved. Fields that the
// comment on its kind does not name are zero, except that events which are not about
// runs have OwnedFor. Times are on this process's clock.
type Event struct {
	Kind              EventKind
	Worker            string
	Task              TaskID
	Attempt           int
	Number            int64         // of the end; for a restart: ends of the former incarnation up to this number may be acknowledged
	Incarnation       int64         // start of the worker's process, Unix time in milliseconds
	FormerIncarnation int64         // the same of the incarnation before; 0: unknown
	OwnedFor          time.Duration // how long the owner had the pool at that time
	Outcome           RunOutcome    // of the run
	LeaseEndsAt       time.Time     // by then the leases on the worker have expired, as the owner reckons
	OrderedAt         time.Time     // when the start was ordered, or the run was first listed
	AnsweredAt        time.Time     // when the start was answered or the run was first listed; zero: neither, or forgotten as the worker restarted while a copy of the start could arrive
	ReportedAt        time.Time     // when the poll was sent whose reply last listed the run; zero: none has
	Place             *places.Decision
	Former            FormerRun // the task's run before
}
