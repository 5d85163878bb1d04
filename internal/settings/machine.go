package settings

import "runtime/debug"

// Machine holds the resources of its machine that a process may use.
type Machine struct {
	Cores       float64 `yaml:"cores" validate:"gte=0"`       // 0: unknown
	MemoryMB    int     `yaml:"memoryMB" validate:"gte=0"`    // 0: no limit
	Descriptors int     `yaml:"descriptors" validate:"gte=0"` // that the process may have open; 0: not known
}

// LimitMemory sets the runtime's memory limit to 70 percent of the machine's memory. The rest
// is for memory that the runtime does not count.
func (m Machine) LimitMemory() {
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(m.MemoryMB) << 20 * 7 / 10)
	}
}
