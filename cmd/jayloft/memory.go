package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/apex/log"
)

// defaultMemory is the memory that a process takes for its own on a large machine, in bytes.
const defaultMemory = 192_000_000

// processMemory returns the memory that a process may use, in bytes: what its settings say, or else
// that of the machine, but defaultMemory at the most.
func processMemory(set int64, l log.Interface) int64 {
	machine, ok := machineMemory()
	switch {
	case set > 0 && ok && set > machine:
		l.WithField("memory", set).WithField("machine", machine).Warn("settings give more memory than the machine has")
		return machine
	case set > 0:
		return set
	case ok:
		return min(machine, defaultMemory)
	}
	return defaultMemory
}

// machineMemory returns the machine's memory in bytes, as the kernel reports it. It reports false
// where the kernel does not.
func machineMemory() (int64, bool) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, false
	}
	line, _, _ := strings.Cut(string(b), "\n")
	fields := strings.Fields(line) // MemTotal: 32768 kB
	if len(fields) < 2 || fields[0] != "MemTotal:" {
		return 0, false
	}
	kb, err := strconv.ParseInt(fields[1], 10, 64)
	return kb << 10, err == nil
}
