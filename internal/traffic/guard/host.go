package guard

import (
	"golang.org/x/sys/unix"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// RuntimeMemoryShare is the soft memory limit of the Go runtime as a share of the host's
// memory.
const RuntimeMemoryShare = 0.7

const (
	// memoryShare is the part of the host's memory that clients may make the process hold.
	// The rest is for the process itself and for what the collector has not freed yet.
	memoryShare = 0.35
	// clientShare and privateShare are the parts of the host's sockets that connections of
	// clients and of others may take. A request takes a second socket for its endpoint.
	clientShare  = 0.35
	privateShare = 0.15
)

// Host is what the host gives a process. Fields that are 0 are not known.
type Host struct {
	MemoryBytes int64
	Sockets     int
}

// SystemHost returns what the operating system says of the host.
func SystemHost() Host {
	var h Host
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		h.MemoryBytes = int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		h.Sockets = int(min(limit.Cur, 1<<20))
	}
	return h
}

// Limits returns the limits of a process on the host.
func (h Host) Limits() Limits {
	l := Limits{MemoryBytes: int64(float64(h.MemoryBytes) * memoryShare)}
	l.Connections[table.ClientListener] = int(float64(h.Sockets) * clientShare)
	l.Connections[table.PrivateListener] = int(float64(h.Sockets) * privateShare)
	return l
}
