package message

import "time"

// LedgerEntry is the ledger's word on one Idempotency-Key.
type LedgerEntry struct {
	Key         string    `json:"key"`
	State       string    `json:"state"`   // none, claimed, finished, refused or in-doubt
	Outcome     string    `json:"outcome"` // what a repeat is told
	Entry       string    `json:"entry"`   // that claimed it
	CreatedAt   time.Time `json:"made"`
	Deadline    time.Time `json:"deadline"`   // of the attempt; a claim without an end is in doubt after it
	Status      int       `json:"status"`     // of the upstream's answer; 0: none
	AnswerSaved bool      `json:"answerKept"` // false also when it was too large
}
