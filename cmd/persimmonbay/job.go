package main

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"time"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
)

func jobCommand() command {
	return command{name: "job", summary: "submit, list, show and cancel jobs on workers", children: []command{
		jobSubmitCommand(),
		jobListCommand(),
		jobShowCommand(),
		jobCancelCommand(),
	}}
}

func jobListCommand() command {
	return command{name: "list", summary: "list the jobs that have not ended or have ended recently", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		team := flags.String("team", "", "list only jobs of this team")
		name := flags.String("name", "", "list only jobs of this name")
		phase := flags.String("phase", "", "list only jobs in this phase")
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var all []placement.Job
			if err := client.Get(ctx, "/v1/jobs", &all); err != nil {
				return err
			}
			listed := []placement.Job{}
			for _, j := range all {
				if (*team == "" || *team == j.Team) && (*name == "" || *name == j.Name) && (*phase == "" || *phase == string(j.Phase)) {
					listed = append(listed, j)
				}
			}
			return f.showJobs(c, listed, listed)
		}
	}}
}

func jobShowCommand() command {
	return command{name: "show", args: "ID", summary: "show one job", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one ID"}
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			var job placement.Job
			if err := client.Get(ctx, "/v1/jobs/"+url.PathEscape(args[0]), &job); err != nil {
				return err
			}
			return f.showJobs(c, job, []placement.Job{job})
		}
	}}
}

func jobCancelCommand() command {
	return command{name: "cancel", args: "[ID...]", summary: "cancel jobs by ID, or all jobs of a team or name", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		var in message.CancelRequest
		flags.StringVar(&in.Operator, "as", currentUser(), "operator name that is recorded with the change")
		flags.StringVar(&in.Team, "team", "", "cancel only jobs of this team")
		flags.StringVar(&in.Name, "name", "", "cancel only jobs of this name")
		return func(ctx context.Context, c console, args []string) error {
			if in.IDs = args; len(args) == 0 && in.Team == "" && in.Name == "" {
				return &usageError{"expected IDs, -team or -name"}
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			var cancelled []placement.Job
			if err := client.Send(ctx, http.MethodPost, "/v1/jobs/cancel", in, &cancelled); err != nil {
				return err
			}
			return f.showJobs(c, cancelled, cancelled)
		}
	}}
}

// showJobs prints value as JSON, or the jobs as a table.
func (f *operatorFlags) showJobs(c console, value any, jobs []placement.Job) error {
	var rows []string
	for _, j := range jobs {
		rows = append(rows, row(j.ID, j.Team, j.Name, j.Class, j.Phase, j.Since.Format(time.RFC3339), j.Attempt.Worker, j.Attempt.Number, len(j.Failures), j.Detail))
	}
	return f.show(c, value, row("JOB", "TEAM", "NAME", "CLASS", "PHASE", "SINCE", "WORKER", "ATTEMPT", "FAILURES", "DETAIL"), rows)
}
