package bench

// pooled is what the benchmarks read of one pool.
type pooled struct {
	Instances int `json:"home"`
}
