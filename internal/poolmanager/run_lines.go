package poolmanager

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"persimmonbay/internal/scheduler"
)

// runLines writes the lines about the runs of one pool. Under load it leaves out lines
// and counts them. It is safe for concurrent use; mu guards the fields below it.
type runLines struct {
	log    *zap.Logger
	clock  clockwork.Clock
	starts *rate.Limiter
	events *rate.Limiter

	mu            sync.Mutex
	omittedStarts int64 // since the ownership began
	omittedEvents int64 // the same, without those that the pool dropped
	reported      int64 // the sum of all that the last such line named
	reportedAt    time.Time
}

// Limits of the lines about the runs of one pool. A burst holds what a pool of the
// target size has to say when it is taken over, or loses an availability zone.
const (
	maxStartLinesPerSecond = 100
	startLinesBurst        = 1000
	maxEventLinesPerSecond = 200
	eventLinesBurst        = 2048
	omittedInterval        = time.Second // the shortest time between two lines that count omitted ones
)

func newRunLines(log *zap.Logger, clock clockwork.Clock) *runLines {
	return &runLines{
		log: log, clock: clock,
		starts: rate.NewLimiter(maxStartLinesPerSecond, startLinesBurst),
		events: rate.NewLimiter(maxEventLinesPerSecond, eventLinesBurst),
	}
}

// allow reports whether a line may be written by the limit; if not, it counts the line.
func (l *runLines) allow(limit *rate.Limiter, omitted *int64, now time.Time) bool {
	if limit.AllowN(now, 1) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	*omitted++
	return false
}

// logStart logs the answer to a start order at now, which took the given time.
func (l *runLines) logStart(o *scheduler.StartOrder, answer scheduler.OrderResult, took time.Duration, now time.Time) {
	if !l.allow(l.starts, &l.omittedStarts, now) {
		return
	}
	message := "task not started, or its start not confirmed by its worker"
	if answer == scheduler.Accepted {
		message = "task started"
	}
	l.log.Info(message, append(runFields(o.Worker, o.Incarnation, o.Task, o.Attempt), zap.Stringer("answer", answer), zap.Duration("took", took),
		zap.Int64("call_token", o.Token), until("lease_ends_in", o.LeaseEndsAt, now), since("clock_age", o.ClockReadAt, now))...)
}

// logEvent logs an event about a run at now.
func (l *runLines) logEvent(e *scheduler.Event, now time.Time) {
	if !l.allow(l.events, &l.omittedEvents, now) {
		return
	}
	fields := append(runFields(e.Worker, e.Incarnation, e.Task, e.Attempt), until("lease_ends_in", e.LeaseEndsAt, now), outcome("why", e.Outcome))
	if e.Kind == scheduler.RunGivenUp {
		answeredAt := e.AnsweredAt
		if answeredAt.IsZero() {
			answeredAt = now
		}
		fields = append(fields, since("report_age", e.ReportedAt, now), zap.Duration("start_unanswered_for", answeredAt.Sub(e.OrderedAt)), zap.Bool("start_answered", !e.AnsweredAt.IsZero()))
	}
	if d := e.Place; d != nil {
		fields = append(fields, zap.Duration("near", d.Near), zap.Duration("far", d.Far), zap.Bool("learned", d.Learned), zap.Duration("expected_wait", d.For), zap.Int("ahead", d.Ahead),
			zap.Duration("waited", d.Waited), zap.Duration("left", d.Left), zap.Stringer("reason", d.Reason))
	}
	if e.Kind == scheduler.AdviceRefused {
		fields = append(fields, zap.Int64("workers", e.Number))
	}
	if e.Kind == scheduler.StartedElsewhere {
		fields = append(fields, zap.String("former_worker", e.Former.Worker), zap.Int64("former_incarnation", e.Former.Incarnation),
			zap.Int("former_attempt", e.Former.Attempt), outcome("former_outcome", e.Former.Outcome))
	}
	l.log.Info(e.Kind.String(), fields...)
}

// logOmitted logs how many lines were left out, if there are more than it told last.
// dropped is the number of events that the pool dropped.
func (l *runLines) logOmitted(dropped int64) {
	now := l.clock.Now()
	l.mu.Lock()
	starts, events := l.omittedStarts, l.omittedEvents+dropped
	due := starts+events > l.reported && now.Sub(l.reportedAt) >= omittedInterval
	if due {
		l.reported, l.reportedAt = starts+events, now
	}
	l.mu.Unlock()
	if due {
		l.log.Warn("lines about runs left out", zap.Int64("starts", starts), zap.Int64("events", events))
	}
}
