package handover

// EvictionSampleSize is the number of cheap engines of a failure domain that are asked
// for their state, including the first one, once that one reports that it is leaving.
const EvictionSampleSize = 4

// Evicted reports whether the platform is evicting all cheap engines of a failure
// domain: at least two, and more than half of those that answered, are leaving. A
// single leaving engine is only being replaced or released.
func Evicted(leaving, answered int) bool { return leaving >= 2 && 2*leaving > answered }
