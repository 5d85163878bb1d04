package message

import "time"

// LedgerEntry is the ledger's record of one Idempotency-Key.
type LedgerEntry struct {
	Key         string    `json:"key"`
	State       string    `json:"state"`   // none, claimed, finished, refused or in-doubt
	Outcome     string    `json:"outcome"` // that a repeated request receives
	Entry       string    `json:"entry"`   // the entry that claimed the key
	CreatedAt   time.Time `json:"made"`
	Deadline    time.Time `json:"deadline"`   // of the attempt; a claim without a recorded end is in doubt afterwards
	Status      int       `json:"status"`     // HTTP status of the upstream's answer; 0: none
	AnswerSaved bool      `json:"answerKept"` // false if there is no answer or it was too large
}
