package berylmemory

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	memoryLimitShare = 2 // the Go runtime may use this part of the memory; the rest is for the program itself and its sockets
	cgroupMemoryPath = "/sys/fs/cgroup/memory.max"
)

// LimitRuntime sets the soft memory limit of the Go runtime from the memory of the machine in
// bytes, 0 if the settings name none, and returns the memory that the process may take: the
// settings' or else that of its control group, 0 if unknown. GOMEMLIMIT wins over both.
func LimitRuntime(memory int64) int64 {
	if os.Getenv("GOMEMLIMIT") != "" {
		// The runtime has read it.
		if n := debug.SetMemoryLimit(-1); n < math.MaxInt64/memoryLimitShare && (memory == 0 || n*memoryLimitShare < memory) {
			return n * memoryLimitShare
		}
		return memory
	}
	if memory == 0 {
		memory = cgroupMemory(cgroupMemoryPath)
	}
	if memory > 0 {
		debug.SetMemoryLimit(memory / memoryLimitShare)
	}
	return memory
}

// cgroupMemory returns the limit in a file of a control group, 0 if there is none.
func cgroupMemory(path string) int64 {
	data, err := os.ReadFile(path) //nolint:gosec // The path is constant outside tests.
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0 // "max"
	}
	return n
}
