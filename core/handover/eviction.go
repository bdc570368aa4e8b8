package handover

// EvictionSampleSize is the number of cheap engines of a failure domain that are
// asked for their state once one of them reports that it is draining, including that
// one.
const EvictionSampleSize = 4

// Evicted reports whether the platform is evicting all cheap engines of a failure
// domain: at least two, and more than half of those that answered, are draining. A
// single draining engine is only being replaced or released.
func Evicted(draining, answered int) bool { return draining >= 2 && 2*draining > answered }
