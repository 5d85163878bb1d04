package main

type phase struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"mem_mb,omitempty"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}
