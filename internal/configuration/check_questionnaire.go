package configuration

import (
	"fmt"

	"persimmonbay/internal/problem"
)

// CheckQuestionnaire returns the faults of q that involve more than one field.
// Findings have paths but no files or lines.
func CheckQuestionnaire(q *Questionnaire) problem.Findings {
	var findings problem.Findings
	findings = append(findings, duplicateNames("teams", len(q.Teams), func(i int) string { return q.Teams[i].Name })...)
	findings = append(findings, duplicateNames("services", len(q.Services), func(i int) string { return q.Services[i].Name })...)
	findings = append(findings, checkJobAnswers(q)...)
	for i := range q.Services {
		findings = append(findings, checkServiceAnswers(i, &q.Services[i])...)
	}
	return findings
}

func checkServiceAnswers(i int, a *ServiceAnswers) problem.Findings {
	var findings problem.Findings
	if a.Name == SparePool {
		findings = append(findings, problem.Finding{
			Path:     fmt.Sprintf("services[%d].name", i),
			Expected: fmt.Sprintf("expected a name other than %q, which is the name of the pool of spare instances", SparePool),
		})
	}
	if a.MayBeAway >= a.Runners {
		findings = append(findings, problem.Finding{
			Path:     fmt.Sprintf("services[%d].mayBeAway", i),
			Expected: fmt.Sprintf("expected fewer than the %d runners, found %d", a.Runners, a.MayBeAway),
		})
	}
	return findings
}
