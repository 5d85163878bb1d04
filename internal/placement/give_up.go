package placement

import (
	"fmt"

	"persimmonbay/internal/fleet"
)

// hopeless says why j is to be given up, or nothing: it failed on workers that
// run others, or on very many, or was seen to use more than it can ever get.
func (p *planner) hopeless(j *Job) string {
	if len(j.Failures) == 0 && j.Peak == (fleet.Resources{}) {
		return ""
	}
	proven := make(map[string]bool)
	for _, f := range j.Failures {
		if p.proven[f.Worker] {
			proven[f.Worker] = true
		}
	}
	switch {
	case len(proven) >= p.policy.JobFailures:
		return fmt.Sprintf("it failed on %d workers that run other jobs", len(proven))
	case len(j.Failures) >= maxFailures:
		return fmt.Sprintf("it failed %d times", len(j.Failures))
	}
	if limit := quotaLimit(j.Peak, p.s.Teams[j.Team].Quota); limit != "" {
		return "it uses more than it may: " + limit
	}
	if limit := workerLimit(j.Peak, p.s.Workers); limit != "" {
		return "it uses more than there is: " + limit
	}
	return ""
}
