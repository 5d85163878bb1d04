package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
)

// Share and size of the answers that are too large for the log.
const (
	largeShare = 0.2
	largeBytes = 8 << 10
)

// fakeUpstream is one entry's connection to the upstream. It counts executions by
// key.
type fakeUpstream struct {
	entry      string
	fail       float64 // share of requests whose answer is lost
	executions *shard.Map[request.Key, int]
	faults     *faults
}

func (u *fakeUpstream) Send(ctx context.Context, _ fleet.Instance, _ *configuration.Service, r *request.Request) (request.Answer, error) {
	if u.faults.waitPaused(u.entry) {
		return request.Answer{}, problem.New(problem.Interrupted, problem.StepSend, "upstream", "killed")
	}
	if ctx.Err() != nil {
		return request.Answer{}, problem.Wrap(problem.Unavailable, problem.StepConnect, "upstream", ctx.Err())
	}
	n := 0
	u.executions.Update(r.Key, func(old int, _ bool) (int, bool) { n = old + 1; return n, true })
	time.Sleep(5 * time.Millisecond)
	if u.faults.waitPaused(u.entry) || u.faults.chance(u.fail) {
		return request.Answer{}, problem.New(problem.Interrupted, problem.StepReceive, "upstream", "answer lost")
	}
	body := fmt.Sprintf("%s ran %d times, for %s", r.Key, n, r.ID)
	if u.faults.chance(largeShare) {
		body += strings.Repeat(".", largeBytes)
	}
	return request.Answer{Status: 201, Body: []byte(body), Length: int64(len(body))}, nil
}
