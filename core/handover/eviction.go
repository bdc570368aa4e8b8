package handover

// EvictionSampleSize is the number of cheap engines of a failure domain that are asked
// whether they leave, once the first of them says so.
const EvictionSampleSize = 4

// Evicted reports whether the platform takes away all cheap engines of a failure
// domain, judged by those that say that they leave among those that answered.
// One alone is being replaced or given back.
func Evicted(leaving, answered int) bool { return leaving >= 2 && 2*leaving > answered }
