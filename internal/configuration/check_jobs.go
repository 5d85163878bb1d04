package configuration

import (
	"fmt"

	"persimmonbay/internal/problem"
)

// checkJobs returns the faults of the jobs section: duplicate and unknown teams,
// and a configured pool that has the name of the workers' pool.
func checkJobs(c *Configuration) problem.Findings {
	if c.Jobs == nil {
		return nil
	}
	teams := c.Jobs.Teams
	findings := duplicateNames("jobs.teams", len(teams), func(i int) string { return teams[i].Team })
	for i := range teams {
		if _, known := c.Team(teams[i].Team); !known {
			findings = append(findings, unknownTeamFinding(fmt.Sprintf("jobs.teams[%d].team", i), teams[i].Team))
		}
	}
	if _, taken := c.Pool(WorkersPool); taken {
		findings = append(findings, problem.Finding{Path: "pools", Expected: fmt.Sprintf("expected no pool named %q, which is the name of the pool of all workers", WorkersPool)})
	}
	return findings
}

// checkJobAnswers returns the faults of the answers about jobs: duplicate and
// unknown teams, and a service whose pool would have the name of the workers'
// pool.
func checkJobAnswers(q *Questionnaire) problem.Findings {
	findings := duplicateNames("jobs", len(q.Jobs), func(i int) string { return q.Jobs[i].Team })
	teams := make(map[string]bool, len(q.Teams))
	for i := range q.Teams {
		teams[q.Teams[i].Name] = true
	}
	for i := range q.Jobs {
		if !teams[q.Jobs[i].Team] {
			findings = append(findings, unknownTeamFinding(fmt.Sprintf("jobs[%d].team", i), q.Jobs[i].Team))
		}
	}
	for i := range q.Services {
		if len(q.Jobs) > 0 && q.Services[i].Name == WorkersPool {
			findings = append(findings, problem.Finding{Path: fmt.Sprintf("services[%d].name", i), Expected: fmt.Sprintf("expected a name other than %q, which is the name of the pool of all workers", WorkersPool)})
		}
	}
	return findings
}

func unknownTeamFinding(path, name string) problem.Finding {
	return problem.Finding{Path: path, Expected: fmt.Sprintf("expected the name of a team, found %q", name)}
}
