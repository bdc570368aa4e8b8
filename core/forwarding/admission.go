package forwarding

// Admission decides how many requests of neighbours a daemon forwards at a time. Its own callers
// come first: what they have in progress is taken off.
type Admission struct {
	// Capacity is the largest number of requests in progress, those of callers included, at
	// which another one is forwarded. Capacity ≥ 0.
	Capacity int
	// Total is the largest number of forwarded requests in progress, and PerAsker that of one
	// neighbour. 0 ≤ PerAsker ≤ Total.
	Total, PerAsker int
}

// Limits of the number of forwarded requests.
const (
	// requestMemory is about the memory of a forwarded request without its body: two
	// connections with their buffers, and the copy of the answer.
	requestMemory = 96 << 10
	// memoryRatio is the share of the VM's memory for forwarded requests.
	memoryRatio = 0.1
	// requestsPerCore is the number of forwarded requests in progress for each processor core.
	requestsPerCore = 256
	// minTotal is the least value of Total.
	minTotal = 32
	// perAskerRatio is the part of Total that one neighbour gets. When a failure domain is cut
	// off, each of the others is asked by about one VM.
	perAskerRatio = 0.5
)

// NewAdmission returns the limits of a VM with the given number of processor cores and bytes of
// memory, and connections for callers and for neighbours. A value of 0 is not known and limits
// nothing, except that of connections.
func NewAdmission(cores float64, memoryBytes int64, callers, neighbours int) Admission {
	total := neighbours / 2 // the others are for calls of the store
	if cores > 0 {
		total = min(total, int(requestsPerCore*cores))
	}
	if memoryBytes > 0 {
		total = min(total, int(memoryRatio*float64(memoryBytes)/requestMemory))
	}
	total = max(total, minTotal)
	return Admission{Capacity: max(callers, total), Total: total, PerAsker: max(int(perAskerRatio*float64(total)), 1)}
}

// Admits reports whether a daemon takes on another request. forwarded is the number of forwarded
// requests in progress, ofAsker that of the neighbour that asks, and own that of requests of the
// daemon's callers.
func (a Admission) Admits(forwarded, ofAsker, own int) bool {
	return forwarded < a.Total && ofAsker < a.PerAsker && own+forwarded < a.Capacity
}
