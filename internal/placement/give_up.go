package placement

import (
	"fmt"

	"persimmonbay/internal/fleet"
)

// giveUpReason returns why j is to be given up, or the empty string: it failed on
// several workers that finish other jobs, it failed maxFailures times, or its
// reported peak exceeds its team's quota or every worker.
func (p *planner) giveUpReason(j *Job) string {
	if len(j.Failures) == 0 && j.Peak == (fleet.Resources{}) {
		return ""
	}
	provenWorkers := make(map[string]bool)
	for _, f := range j.Failures {
		if p.proven[f.Worker] {
			provenWorkers[f.Worker] = true
		}
	}
	switch {
	case len(provenWorkers) >= p.policy.JobFailures:
		return fmt.Sprintf("the job failed on %d workers that finish other jobs", len(provenWorkers))
	case len(j.Failures) >= maxFailures:
		return fmt.Sprintf("the job failed %d times", len(j.Failures))
	}
	if limit := quotaLimit(j.Peak, p.snapshot.Teams[j.Team].Quota); limit != "" {
		return "the job uses more than its quota: " + limit
	}
	if limit := workerLimit(j.Peak, p.snapshot.Workers); limit != "" {
		return "the job uses more than any worker has: " + limit
	}
	return ""
}
