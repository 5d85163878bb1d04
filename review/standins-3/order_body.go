package main

type orderBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
	Observed   int64  `json:"observed"`
	Wait       int64  `json:"wait_ms"`
}
