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
	return command{name: "submit", summary: "queue a job, or several alike; one that can never run is refused", setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		in := message.SubmitRequest{}
		spec := message.JobSpec{}
		flags.StringVar(&in.Operator, "as", currentUser(), "name to record and to show to others")
		flags.StringVar(&spec.ID, "id", "", "ID of the job; a repeat under the same ID submits nothing new; empty: a new one")
		flags.StringVar(&spec.Team, "team", "", "the team whose quota it uses")
		flags.StringVar(&spec.Name, "name", "", "what it is; jobs of one name are taken to be alike")
		class := flags.String("class", fleet.Normal.String(), "urgent, normal or background")
		flags.IntVar(&spec.Size.MilliCores, "millicores", 1000, "processors that it needs, in thousandths")
		flags.IntVar(&spec.Size.MemoryMB, "memory", 1024, "memory that it needs, in megabytes")
		flags.IntVar(&spec.Size.Accelerators, "accelerators", 0, "accelerators that it needs")
		flags.DurationVar(&spec.RunTime, "run-time", 0, "how long it is expected to run; 0: not known")
		deadline := flags.String("deadline", "", "when it must have finished, as 2006-01-02T15:04:05Z; empty: no matter")
		flags.BoolVar(&spec.Repeatable, "repeatable", false, "a second start does no harm")
		flags.StringVar(&spec.Work, "work", "", "what to run, in the worker's own terms")
		count := flags.Int("count", 1, "how many jobs to submit")
		return func(ctx context.Context, c console, _ []string) error {
			if err := complete(&spec, *class, *deadline, *count); err != nil {
				return err
			}
			jobs, err := alike(spec, *count)
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

// complete parses the texts of a specification.
func complete(spec *message.JobSpec, class, deadline string, count int) error {
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

// alike returns count jobs, each with an ID of its own.
func alike(spec message.JobSpec, count int) ([]message.JobSpec, error) {
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
