package daemon

import (
	"maps"
	"slices"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/origins"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/config"
	"acaciapath.example/core/epoch"
	"acaciapath.example/core/evacuation"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// missingEntryHold is how long entries that are missing from the store are kept after it
// is available again. Backend servers that are alive write their entries again
// within two seconds.
const missingEntryHold = 2200 * time.Millisecond

// directoryUpdater updates the directory from rows of the store and from what engines
// report themselves. It is not safe for concurrent use.
type directoryUpdater struct {
	directory *directory.Directory
	logger    *logrus.Logger
	// origins is told at which versions streams are to begin, unless it is nil.
	origins *origins.Registry
	servers map[string]replica.Spec
	// heldUntil maps the servers whose entries went missing during an outage of the store
	// or just after it to the time until which they are kept.
	heldUntil map[string]time.Time
	// reportedDrains maps the engines that reported themselves that they drain to the
	// time at which they stop.
	reportedDrains map[string]time.Time
	// history has the latest entries, and refused those that are older, just after the store
	// was restored from a copy.
	history replica.EntryHistory
	refused map[string]replica.Spec
	// storeRestoredAt is when the store was last available again after an outage.
	storeRestoredAt time.Time
	// evacuations are the failure domains that the operator evacuates.
	evacuations evacuation.Set
	// warnedRegions are the unknown regions among homes that were logged.
	warnedRegions map[string]bool
}

func newDirectoryUpdater(d *directory.Directory, logger *logrus.Logger) *directoryUpdater {
	return &directoryUpdater{directory: d, logger: logger, servers: make(map[string]replica.Spec), heldUntil: make(map[string]time.Time), reportedDrains: make(map[string]time.Time), refused: make(map[string]replica.Spec), warnedRegions: make(map[string]bool)}
}

// applyCatalog applies the configuration that the operator wrote. It returns false,
// since no further changes are likely to follow.
func (u *directoryUpdater) applyCatalog(rows []platform.Row, _ bool) bool {
	for _, row := range rows {
		if row.Key != platform.KeyCatalog || row.Deleted {
			continue
		}
		c, skippedRoutes, err := platform.ParseConfiguration(row.Data)
		if err != nil {
			u.logger.WithError(err).WithField("version", epoch.Format(row.Version)).Error("invalid catalog ignored, the current one stays in use")
			continue
		}
		for _, name := range skippedRoutes {
			u.logger.WithFields(logrus.Fields{"route": name, "revision": c.Revision}).Warn("route ignored: its type is unknown, or it has no service or no positive timeout")
		}
		u.warnUnknownRegions(c)
		applied := u.directory.SetCatalog(c, time.Now())
		u.logger.WithFields(logrus.Fields{
			"revision": c.Revision, "row-version": epoch.Format(row.Version), "routes": len(c.Routes),
			"client-accounts": len(c.Accounts), "taken": applied, "routes-with-homes": routesWithHomes(c),
		}).Info("catalog read")
	}
	u.updatePlans()
	return false
}

// warnUnknownRegions logs homes that are no region of the deployment, each once. Nothing is
// served there.
func (u *directoryUpdater) warnUnknownRegions(c catalog.Catalog) {
	var homes []string
	for _, r := range c.Routes {
		homes = append(homes, r.Homes...)
	}
	for _, a := range c.Accounts {
		homes = append(homes, a.Homes...)
	}
	for _, region := range placement.UnknownRegions(homes, u.directory.Regions) {
		if !u.warnedRegions[region] {
			u.warnedRegions[region] = true
			u.logger.WithFields(logrus.Fields{"region": region, "revision": c.Revision}).Warn("unknown region among the homes of routes or client accounts, nothing is served there")
		}
	}
}

// routesWithHomes returns the names of the routes that have homes.
func routesWithHomes(c catalog.Catalog) []string {
	var names []string
	for _, r := range c.Routes {
		if len(r.Homes) > 0 {
			names = append(names, r.Name)
		}
	}
	return names
}

// applyServers applies entries of backend servers. snapshot states that rows are all
// entries, not only changed ones. It reports whether a cheap server began to drain, in
// which case others are likely to follow, since the platform evicts them together.
func (u *directoryUpdater) applyServers(rows []platform.Row, snapshot bool) bool {
	now := time.Now()
	evicting := false
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		seen[row.Key] = true
		if row.Deleted {
			u.remove(row.Key, now)
			continue
		}
		spec, err := platform.ParseServer(row.Key, row.Data)
		if err != nil {
			u.logger.WithError(err).WithField("backend-server", row.Key).Warn("invalid entry of a backend server, no longer sending it requests")
			delete(u.servers, row.Key)
			continue
		}
		delete(u.heldUntil, row.Key)
		delete(u.refused, row.Key)
		if !u.history.Admit(spec, now) {
			u.refused[row.Key] = spec
			u.logger.WithFields(logrus.Fields{"backend-server": row.Key, "sequence": spec.Sequence, "draining": u.servers[row.Key].Draining}).
				Info("entry of a backend server is older than a known one, not used: the store was restored from a copy")
			continue
		}
		evicting = evicting || spec.Kind == config.KindCheap && spec.Draining && !u.servers[row.Key].Draining
		u.servers[row.Key] = spec
	}
	if snapshot {
		for name := range u.servers {
			if !seen[name] {
				u.remove(name, now)
			}
		}
	}
	u.publish(now)
	return evicting
}

// remove removes a backend server. It keeps the server for a while if its entry may be
// missing only because the store was unavailable.
func (u *directoryUpdater) remove(name string, now time.Time) {
	u.history.Remove(name, now)
	delete(u.refused, name)
	spec, known := u.servers[name]
	if holdUntil := u.storeRestoredAt.Add(missingEntryHold); known && !spec.Draining && now.Before(holdUntil) {
		if _, held := u.heldUntil[name]; !held {
			u.heldUntil[name] = holdUntil
		}
		return
	}
	delete(u.servers, name)
	delete(u.heldUntil, name)
}

// useRefused uses the entries that were refused because they were older than known ones, once
// their servers have had time to write newer ones and entries of others have expired.
func (u *directoryUpdater) useRefused(now time.Time) {
	for name, spec := range u.refused {
		if u.history.Admit(spec, now) {
			u.servers[name] = spec
			delete(u.refused, name)
		}
	}
	u.publish(now)
}

// removeHeld removes the servers that were kept long enough without an entry.
func (u *directoryUpdater) removeHeld(now time.Time) {
	for name, holdUntil := range u.heldUntil {
		if !now.Before(holdUntil) {
			delete(u.heldUntil, name)
			delete(u.servers, name)
		}
	}
	u.publish(now)
}

// reportedDrainHold is how long an engine's own report still takes precedence over its
// entry after the time at which the engine was to stop.
const reportedDrainHold = 3 * time.Second

// markDraining records that engines reported that they drain and stop at stopsAt.
func (u *directoryUpdater) markDraining(specs []replica.Spec, stopsAt, now time.Time) {
	for _, spec := range specs {
		u.reportedDrains[spec.Name] = stopsAt
	}
	u.publish(now)
}

// withReportedDrain returns spec with the drain that the engine reported itself, if
// any.
func (u *directoryUpdater) withReportedDrain(spec replica.Spec, now time.Time) replica.Spec {
	stopsAt, reported := u.reportedDrains[spec.Name]
	switch {
	case !reported:
	case now.After(stopsAt.Add(reportedDrainHold)):
		delete(u.reportedDrains, spec.Name)
	case !spec.Draining:
		spec.Draining, spec.TimeLeft = true, max(stopsAt.Sub(now), time.Millisecond)
	}
	return spec
}

// stayingCheapEngines returns the cheap engines that are not known to drain, grouped by
// service and failure domain.
func (u *directoryUpdater) stayingCheapEngines(now time.Time) [][]replica.Spec {
	groups := make(map[[2]string][]replica.Spec)
	for _, spec := range u.servers {
		if spec = u.withReportedDrain(spec, now); spec.Kind != config.KindCheap || spec.Draining {
			continue
		}
		for _, service := range spec.Serves {
			key := [2]string{service, spec.FailureDomain}
			groups[key] = append(groups[key], spec)
		}
	}
	return slices.Collect(maps.Values(groups))
}

// publish passes all servers to the directory and logs the changes.
func (u *directoryUpdater) publish(now time.Time) {
	specs := make([]replica.Spec, 0, len(u.servers))
	draining := 0
	for _, spec := range u.servers {
		spec = u.withReportedDrain(spec, now)
		specs = append(specs, spec)
		if spec.Draining {
			draining++
		}
	}
	for _, change := range u.directory.SetServers(specs, now) {
		if len(change.Added)+len(change.Removed) > 0 {
			u.logger.WithFields(logrus.Fields{
				"service": change.Service, "added": change.Added, "removed": change.Removed,
				"known": len(specs), "leaving": draining, "lapsed": len(u.heldUntil),
			}).Info("backend servers changed")
		}
		if len(change.Cold) > 0 {
			u.logger.WithFields(logrus.Fields{"service": change.Service, "cold": change.Cold, "longest-ms": change.LongestCold.Milliseconds()}).
				Info("backend servers may be cold, sending them this daemon's part of what they tolerate")
		}
	}
	u.updatePlans()
}

// updatePlans passes on at which versions streams are to begin.
func (u *directoryUpdater) updatePlans() {
	if u.origins != nil {
		u.origins.SetListed(u.directory.StreamServers(), time.Now())
	}
}
