package bench

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// usage holds the resources that a process has used since its start.
type usage struct {
	read, written uint64 // bytes, by read and write system calls
	cpu           time.Duration
	rss           uint64 // bytes at present
}

// usageOf reads the usage of a process from /proc.
func usageOf(pid int) (usage, error) {
	var u usage
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	if _, err := fmt.Sscanf(string(io), "rchar: %d\nwchar: %d\n", &u.read, &u.written); err != nil {
		return u, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var user, system, pages uint64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return u, err
	}
	u.cpu = time.Duration(user+system) * clockTick
	u.rss = pages * uint64(os.Getpagesize())
	return u, nil
}

// plus returns the sum of both usages, with the rss of u.
func (u usage) plus(v usage) usage {
	return usage{read: u.read + v.read, written: u.written + v.written, cpu: u.cpu + v.cpu, rss: u.rss}
}

// minus returns the usage since v, without rss.
func (u usage) minus(v usage) usage {
	return usage{read: u.read - v.read, written: u.written - v.written, cpu: u.cpu - v.cpu}
}
