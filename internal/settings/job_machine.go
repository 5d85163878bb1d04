package settings

// JobMachine tells what the process may use of its machine.
type JobMachine struct {
	MemoryMB int `yaml:"memoryMB" validate:"gte=0"` // 0: no limit
}
