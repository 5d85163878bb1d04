package configuration

import "persimmonbay/internal/fleet"

// WorkersPool is the name of the pool of all workers. It exists when teams may
// run jobs, and no configured pool may have this name then.
const WorkersPool = "workers"

// defaultWorkersAwayShare is the share of the workers that may be away for
// maintenance at once.
const defaultWorkersAwayShare = 0.05

// Factors between the units of the questionnaire and those of fleet.Resources.
const (
	milliCoresPerProcessor = 1000
	megabytesPerGigabyte   = 1024
)

// generateJobs returns which teams may run jobs and their quotas, or nil when
// the answers name no team.
func generateJobs(answers []JobAnswers) *Jobs {
	if len(answers) == 0 {
		return nil
	}
	jobs := &Jobs{WorkersMayBeAway: defaultWorkersAwayShare}
	for _, a := range answers {
		jobs.Teams = append(jobs.Teams, TeamJobs{Team: a.Team, TopClass: topClass(a.LateMeans), Quota: fleet.Resources{
			MilliCores: a.Processors * milliCoresPerProcessor, MemoryMB: a.MemoryGB * megabytesPerGigabyte, Accelerators: a.Accelerators}})
	}
	return jobs
}
