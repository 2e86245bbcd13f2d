package memory

const (
	// programSize is what the program and its libraries take of the process's resident memory, in bytes, beside Go's
	// heap and stacks.
	programSize = 15 << 20
	// stateSize is what the process holds on the heap for itself, in bytes.
	stateSize = 3 << 20
	// kernelShare is the part of the memory limit that is left to the kernel's socket buffers.
	kernelShare = 0.4
	// margin is the part of what is left to Go that its collector may overshoot its limit by.
	margin = 0.05
	// accountShare is the part of Go's memory, less the process's own state, that peers may make it hold. The rest is for
	// what has not been collected yet.
	accountShare = 0.72
)

// Limits are the limits of a process's memory, in bytes.
type Limits struct {
	Go      int64 // Go's heap and stacks
	Account int64 // what peers may make the process hold, which is a part of that
}

// LimitsOf divides the memory of a process, in MiB. share is the part of it that this process may use, as another
// process of its node uses the rest.
func LimitsOf(memoryMB int, share float64) Limits {
	all := float64(int64(memoryMB) << 20)
	forGo := share * (1 - margin) * min((1-kernelShare)*all, all-programSize)
	return Limits{Go: int64(forGo), Account: int64(max(0, accountShare*(forGo-stateSize)))}
}
