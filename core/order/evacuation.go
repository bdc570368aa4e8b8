package order

// MoveBaselines returns the baselines of a service by failure domain while some are evacuated:
// those of evacuated ones move to the others in proportion to their own, rounded up. Where
// nothing is deployed, nothing is added.
func MoveBaselines(baselines map[string]int, evacuated map[string]bool) map[string]int {
	moving, staying := 0, 0
	for domain, n := range baselines {
		if evacuated[domain] {
			moving += n
		} else {
			staying += n
		}
	}
	moved := make(map[string]int, len(baselines))
	for domain, n := range baselines {
		if !evacuated[domain] && n > 0 {
			moved[domain] = n + (moving*n+staying-1)/staying
		}
	}
	return moved
}
