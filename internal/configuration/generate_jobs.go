package configuration

import "persimmonbay/internal/fleet"

// WorkersPool is the name of the pool of all workers, which is there when teams
// run jobs.
const WorkersPool = "workers"

// workersMayBeAway is the share of the workers that maintenance may take at
// once.
const workersMayBeAway = 0.05

// Units of resources.
const (
	milliCoresPerProcessor = 1000
	megabytesPerGigabyte   = 1024
)

// generateJobs returns who may run jobs, or nil when nobody asked to.
func generateJobs(answers []JobAnswers) *Jobs {
	if len(answers) == 0 {
		return nil
	}
	jobs := &Jobs{WorkersMayBeAway: workersMayBeAway}
	for _, a := range answers {
		jobs.Teams = append(jobs.Teams, TeamJobs{Team: a.Team, TopClass: topClass(a.LateMeans), Quota: fleet.Resources{
			MilliCores: a.Processors * milliCoresPerProcessor, MemoryMB: a.MemoryGB * megabytesPerGigabyte, Accelerators: a.Accelerators}})
	}
	return jobs
}
