package bench

// processVars is what the benchmarks read of /debug/vars.
type processVars struct {
	Entry entryVars `json:"entry"`
}
