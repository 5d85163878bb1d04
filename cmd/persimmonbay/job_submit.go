package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
)

func jobSubmitCommand() command {
	return command{name: "submit", summary: "queue one or more equal jobs; jobs that can never run are refused", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		in := message.SubmitRequest{}
		spec := message.JobSpec{}
		flags.StringVar(&in.Operator, "as", currentUser(), "operator name that is recorded with the change")
		flags.StringVar(&spec.ID, "id", "", "ID of the job; submitting the same ID again has no effect; empty: a new ID")
		flags.StringVar(&spec.Team, "team", "", "team whose quota the job uses")
		flags.StringVar(&spec.Name, "name", "", "name of the job; jobs of the same name are expected to behave alike")
		class := flags.String("class", fleet.Normal.String(), "class: urgent, normal or background")
		flags.IntVar(&spec.Size.MilliCores, "millicores", 1000, "required CPU, in thousandths of a core")
		flags.IntVar(&spec.Size.MemoryMB, "memory", 1024, "required memory, in megabytes")
		flags.IntVar(&spec.Size.Accelerators, "accelerators", 0, "required accelerators")
		flags.DurationVar(&spec.RunTime, "run-time", 0, "expected run time; 0: unknown")
		deadline := flags.String("deadline", "", "time by which the job must have finished, as 2006-01-02T15:04:05Z; empty: none")
		flags.BoolVar(&spec.Repeatable, "repeatable", false, "the job may be started more than once")
		flags.StringVar(&spec.Work, "work", "", "what to run, in the format of the worker")
		count := flags.Int("count", 1, "number of jobs to submit")
		return func(ctx context.Context, c console, _ []string) error {
			if err := parseSpec(&spec, *class, *deadline, *count); err != nil {
				return err
			}
			jobs, err := repeatSpec(spec, *count)
			if err != nil {
				return err
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			in.Jobs = jobs
			var submitted []placement.Job
			if err := client.Send(ctx, http.MethodPost, "/v1/jobs", in, &submitted); err != nil {
				return err
			}
			return f.showJobs(c, submitted, submitted)
		}
	}}
}

// parseSpec sets the class and the deadline of spec from the flags' texts and
// checks the required flags. Its errors are of type usageError.
func parseSpec(spec *message.JobSpec, class, deadline string, count int) error {
	var err error
	if spec.Class, err = fleet.ParseClass(class); err != nil {
		return &usageError{"-class: " + err.Error()}
	}
	if deadline != "" {
		if spec.Deadline, err = time.Parse(time.RFC3339, deadline); err != nil {
			return &usageError{"-deadline: " + err.Error()}
		}
	}
	switch {
	case spec.Team == "" || spec.Name == "":
		return &usageError{"expected -team and -name"}
	case count < 1 || count > 1 && spec.ID != "":
		return &usageError{"-count: expected 1 or more, and 1 with -id"}
	}
	return nil
}

// repeatSpec returns count copies of spec. Each copy without an ID gets a new one.
func repeatSpec(spec message.JobSpec, count int) ([]message.JobSpec, error) {
	jobs := make([]message.JobSpec, 0, count)
	for range count {
		job := spec
		if job.ID == "" {
			id, err := uuid.NewV7()
			if err != nil {
				return nil, err
			}
			job.ID = id.String()
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}
