package origin

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"acaciapath.example/core/rendezvous"
)

// planShares is the sum of the weights of a plan, roughly. Small differences between the
// numbers of servers do not change it.
const planShares = 8

// Plan tells at which version each stream of a group begins. Daemons with equal plans choose
// the same version for a stream. The zero value is the plan of a group without servers.
type Plan []Share

// Share is the part of the streams that begin at a version.
type Share struct {
	Version string
	// Weight is proportional to the part. Weight > 0.
	Weight int
}

// String returns the plan as VERSION:WEIGHT, separated by commas.
func (p Plan) String() string {
	shares := make([]string, len(p))
	for i, share := range p {
		shares[i] = share.Version + ":" + strconv.Itoa(share.Weight)
	}
	return strings.Join(shares, ",")
}

// NewPlan returns the plan for the given numbers of servers of each version.
func NewPlan(servers map[string]int) Plan {
	total := 0
	for _, n := range servers {
		total += n
	}
	var p Plan
	for _, version := range slices.Sorted(maps.Keys(servers)) {
		if n := servers[version]; n > 0 {
			weight := math.Round(planShares * float64(n) / float64(total))
			p = append(p, Share{Version: version, Weight: max(int(weight), 1)})
		}
	}
	if len(p) == 1 {
		p[0].Weight = 1
	}
	return p
}

// Pick returns the version at which a stream begins, or false if there is none. Few streams
// have another one if the weights change a little.
func (p Plan) Pick(stream Stream) (version string, ok bool) {
	var highest uint64
	for _, share := range p {
		hash := rendezvous.Hash(share.Version)
		for i := range share.Weight {
			score := rendezvous.Mix(rendezvous.Mix(hash+uint64(i)) ^ uint64(stream))
			if !ok || cmp.Or(cmp.Compare(score, highest), cmp.Compare(share.Version, version)) > 0 {
				version, highest, ok = share.Version, score, true
			}
		}
	}
	return version, ok
}
