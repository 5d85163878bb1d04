package main

// amounts are a capacity or a need: thousandths of a core, MB and GPUs.
type amounts struct{ cpu, mem, gpu int64 }

func (a amounts) plus(o amounts) amounts { return amounts{a.cpu + o.cpu, a.mem + o.mem, a.gpu + o.gpu} }

func (a amounts) within(o amounts) bool { return a.cpu <= o.cpu && a.mem <= o.mem && a.gpu <= o.gpu }

func (a amounts) object() object {
	o := object{}
	for k, v := range map[string]int64{"cpu": a.cpu, "mem_mb": a.mem, "gpu": a.gpu} {
		if v > 0 {
			o[k] = v
		}
	}
	return o
}
