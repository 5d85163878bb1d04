package settings

// JobMachine tells what the process may use of its machine.
type JobMachine struct {
	Cores    float64 `yaml:"cores" validate:"gte=0"`    // 0: not known
	MemoryMB int     `yaml:"memoryMB" validate:"gte=0"` // 0: no limit
}
