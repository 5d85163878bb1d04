package main

import (
	"context"
	"flag"
	"net/url"

	"persimmonbay/internal/operator/message"
)

func requestCommand() command {
	return command{name: "request", summary: "query the ledger of keyed requests", children: []command{requestKeyCommand(), requestShowCommand(), requestInDoubtCommand()}}
}

func requestShowCommand() command {
	return command{name: "show", args: "KEY", summary: "show the ledger's record of an Idempotency-Key", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one KEY"}
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			var entry message.LedgerEntry
			if err := client.Get(ctx, "/v1/requests/"+url.PathEscape(args[0]), &entry); err != nil {
				return err
			}
			return f.show(c, entry, ledgerHeader(), ledgerRows([]message.LedgerEntry{entry}))
		}
	}}
}

func requestInDoubtCommand() command {
	return command{name: "in-doubt", summary: "list the requests whose outcome cannot be determined", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var entries []message.LedgerEntry
			if err := client.Get(ctx, "/v1/requests?state=in-doubt", &entries); err != nil {
				return err
			}
			return f.show(c, entries, ledgerHeader(), ledgerRows(entries))
		}
	}}
}

func ledgerHeader() string {
	return row("KEY", "STATE", "OUTCOME", "ENTRY", "MADE", "DEADLINE", "STATUS", "ANSWER KEPT")
}

func ledgerRows(entries []message.LedgerEntry) []string {
	var rows []string
	for _, e := range entries {
		rows = append(rows, row(e.Key, e.State, e.Outcome, e.Entry, e.CreatedAt, e.Deadline, e.Status, e.AnswerSaved))
	}
	return rows
}
