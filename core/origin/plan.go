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
// numbers of servers do not change it, and versions with few servers have no part.
const planShares = 8

// Plan tells at which version each stream of a service begins. Daemons with equal plans choose
// the same version for a stream. The zero value is the plan of a service without servers.
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
		if weight := math.Round(planShares * float64(servers[version]) / float64(total)); weight > 0 {
			p = append(p, Share{Version: version, Weight: int(weight)})
		}
	}
	if len(p) == 1 {
		p[0].Weight = 1
	}
	return p
}

// maxDifference is the difference between the shares of a version in two plans up to which
// servers are not overloaded by the other plan.
const maxDifference = 0.25

// isUrgent reports whether servers that the plan fits would be overloaded by the plan in use.
func (p Plan) isUrgent(used Plan) bool {
	if len(used) == 0 {
		return true
	}
	shares := p.shares()
	for version, share := range used.shares() {
		if shares[version] == 0 || share-shares[version] > maxDifference {
			return true
		}
	}
	return false
}

// shares returns the part of the streams that begin at each version.
func (p Plan) shares() map[string]float64 {
	total := 0
	for _, s := range p {
		total += s.Weight
	}
	shares := make(map[string]float64)
	for _, s := range p {
		shares[s.Version] = float64(s.Weight) / float64(total)
	}
	return shares
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
