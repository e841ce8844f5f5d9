// Package machine knows the limits of the machine on which the process runs.
package machine

import (
	"bufio"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// Limits are the limits of a process on its machine. Those that are zero are not known.
type Limits struct {
	// Memory is the largest memory of the process, in bytes.
	Memory int64
	// Descriptors is the largest number of open descriptors.
	Descriptors int
}

// Within returns the lower one of each limit and that of another source.
func (l Limits) Within(other Limits) Limits {
	return Limits{Memory: lower(l.Memory, other.Memory), Descriptors: lower(l.Descriptors, other.Descriptors)}
}

// lower returns the lower one of two limits of which either may not be known.
func lower[N int | int64](a, b N) N {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// programBytes is the memory that the program itself takes: its code, and what the runtime holds
// besides the heap.
const programBytes = 32 << 20

// Usable returns the memory that is left beside the program itself, in bytes.
func (l Limits) Usable() int64 {
	return max(l.Memory-programBytes, 0)
}

// Limits that are assumed where the system states none.
const (
	assumedMemory      = 1 << 30
	assumedDescriptors = 1024
	// maxDescriptors bounds a limit of the system that is as good as none.
	maxDescriptors = 1 << 20
)

// OfSystem returns the limits that the operating system states.
func OfSystem() Limits {
	return Limits{Memory: systemMemory(), Descriptors: systemDescriptors()}
}

// cgroupMemoryFile holds the limit on the memory of the process's control group, or the word "max".
const cgroupMemoryFile = "/sys/fs/cgroup/memory.max"

// systemMemory returns the memory of the machine or of the process's control group, in bytes.
func systemMemory() int64 {
	return lower(groupMemory(), machineMemory())
}

// groupMemory returns the limit on the memory of the process's control group, in bytes, or zero if there
// is none.
func groupMemory() int64 {
	content, err := os.ReadFile(cgroupMemoryFile)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64)
	if err != nil {
		return 0
	}
	return limit
}

// machineMemory returns the memory of the machine, in bytes.
func machineMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return assumedMemory
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var kibibytes int64
		if text, found := strings.CutPrefix(lines.Text(), "MemTotal:"); found {
			if _, err := fmt.Sscan(text, &kibibytes); err == nil && kibibytes > 0 {
				return kibibytes << 10
			}
		}
	}
	return assumedMemory
}

// systemDescriptors returns the largest number of descriptors that the process may open.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// heapShare is the part of the usable memory at which the garbage collector begins to run more often.
// The rest is for the kernel's buffers and for pages that the runtime has not returned yet.
const heapShare = 0.8

// leastHeap is the size of a heap that the program needs in any case, in bytes.
const leastHeap = 16 << 20

// LimitHeap makes the garbage collector keep the process within the memory of the machine. The
// variable GOMEMLIMIT goes before it.
func (l Limits) LimitHeap() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(max(leastHeap, int64(heapShare*float64(l.Usable()))))
	}
}
