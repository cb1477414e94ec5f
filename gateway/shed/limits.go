package shed

import (
	"syscall"

	"github.com/agateway/agateway/core/shedding"
)

// Shares of the memory of the process that connections may make it hold. The rest is left for the process itself,
// for garbage, and for what the system has received and the process has not read.
const (
	callersMemoryShare  = 0.25
	internalMemoryShare = 0.05
)

// Parts of the descriptors, after those that are reserved: a request of a caller needs another connection, to an
// endpoint.
const (
	callersDescriptorDivisor  = 2
	internalDescriptorDivisor = 4
	// reservedDescriptors, but at most 1/reservedDivisor of all, are left for files and listeners.
	reservedDescriptors = 200
	reservedDivisor     = 8
)

// Limits returns the bounds for connections of callers and for those of other instances, the platform and operators.
// memoryMB is the memory of the process in MB, descriptors the number that it may have open; 0 for the limit that
// the system has set.
func Limits(memoryMB, descriptors int) (callers, internal shedding.Settings) {
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	memory := float64(memoryMB) * (1 << 20)
	free := descriptors - min(reservedDescriptors, descriptors/reservedDivisor)
	return shedding.Settings{Bytes: int64(callersMemoryShare * memory), Connections: free / callersDescriptorDivisor},
		shedding.Settings{Bytes: int64(internalMemoryShare * memory), Connections: free / internalDescriptorDivisor}
}

// Bounds of the number of descriptors that is assumed where the system states none or a very large one.
const (
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20
)

func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors // the least that systems usually grant
	}
	return int(min(limit.Cur, maxDescriptors))
}
