package daemon

import (
	"maps"
	"slices"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/evacuation"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// applyCatalog applies rows of the operator: evacuations, which hold from then on, and the
// configuration with its limits of the connections of callers.
func (d *Daemon) applyCatalog(rows []platform.Row, snapshot bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, _ := epoch.Split(d.catalogFeed.version)
	if d.updater.applyEvacuations(rows, snapshot, current, time.Now()) {
		time.AfterFunc(time.Until(d.updater.evacuations.HoldUntil()), d.endHeldEvacuations)
	}
	moreExpected := d.updater.applyCatalog(rows, snapshot)
	if view := d.directory.View(); view != nil {
		d.ports.callers.SetLimits(d.ports.callerLimits(view.Index.Catalog.Limits))
		d.ports.limitNeighbours()
	}
	return moreExpected
}

// endHeldEvacuations ends the evacuations whose rows were not written again after the store
// was restored.
func (d *Daemon) endHeldEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updater.publishEvacuations(d.updater.evacuations.Expire(now), now)
}

// applyEvacuations applies the evacuations among rows of an epoch of the store. It reports
// whether some are held from now on although their rows are missing.
func (u *directoryUpdater) applyEvacuations(rows []platform.Row, snapshot bool, current uint64, now time.Time) bool {
	latest := make(map[string]bool) // whether the last row of each failure domain was written
	for _, row := range rows {
		if domain, ok := platform.EvacuatedDomain(row.Key); ok {
			latest[domain] = !row.Deleted
		}
	}
	var written, deleted []string
	for _, domain := range slices.Sorted(maps.Keys(latest)) {
		if latest[domain] {
			written = append(written, domain)
		} else {
			deleted = append(deleted, domain)
		}
	}
	var change evacuation.Change
	if snapshot {
		change = u.evacuations.Replace(written, current, now)
	} else {
		change = u.evacuations.Update(written, deleted, current, now)
	}
	u.publishEvacuations(change, now)
	return len(change.Held) > 0
}

// publishEvacuations logs a change and passes all evacuations to the directory.
func (u *directoryUpdater) publishEvacuations(change evacuation.Change, now time.Time) {
	if change.Empty() {
		return
	}
	since := u.evacuations.Since()
	all := slices.Sorted(maps.Keys(since))
	for _, domain := range change.Begun {
		u.logger.WithFields(logrus.Fields{"failure-domain": domain, "region": u.directory.Regions[domain], "evacuated": all}).
			Info("failure domain is evacuated, sending its backend servers no new requests")
	}
	for _, domain := range change.Ended {
		u.logger.WithFields(logrus.Fields{"failure-domain": domain, "evacuated": all}).Info("evacuation of a failure domain ended")
	}
	for _, domain := range change.Held {
		u.logger.WithFields(logrus.Fields{"failure-domain": domain, "evacuated": all}).
			Warn("evacuation of a failure domain is missing from the restored store, held for a while")
	}
	u.directory.SetEvacuated(since, now)
	u.updatePlans()
}
