package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// maxMixedStreams is the number of streams that may hold events of two software versions.
const maxMixedStreams = 2

// upgrades are two builds of the daemon that run side by side.
type upgrades struct {
	// builds are the binaries of the production version and of the present one.
	builds [2]string
	// replaced is the number of daemons that were replaced, and last the last one of them.
	replaced int
	last     *vm
	// random draws releases of engines and VMs that are added or replaced, released and newVMs
	// count them.
	random           *rand.Rand
	released, newVMs int
}

// TestSoakWithUpgrades runs seeds in which the daemons of the production version are replaced by
// those of the present one, one after the other, and back again. Meanwhile engines are replaced by
// ones of the next software version, VMs are added and replaced by new ones, and callers take up
// streams that break off.
func TestSoakWithUpgrades(t *testing.T) {
	builds := [2]string{buildProduction(t), build(t, t.TempDir())}
	for i := range *upgradeSeedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSeed(qt.New(t), builds[0], seed, daemonCount, func(f *faultInjector) {
				f.upgrades, f.restores = &upgrades{builds: builds, random: rand.New(rand.NewPCG(seed, 6))}, *upgradeRestores
			})
		})
	}
}

// buildProduction builds the daemon of the production version that the deploy file names, from the
// history of the repository, and returns the path of the binary.
func buildProduction(t *testing.T) string {
	c := qt.New(t)
	run := func(dir, name string, args ...string) {
		command := exec.Command(name, args...)
		command.Dir = dir
		out, err := command.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s %q: %s", name, args, out))
	}
	root, err := filepath.Abs("../..")
	c.Assert(err, qt.IsNil)
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	c.Assert(err, qt.IsNil)
	production := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(deploy)
	c.Assert(production, qt.HasLen, 2)
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	run(root, "git", "archive", "--output", archive, string(production[1]))
	run(dir, "tar", "-xf", archive)
	binary := filepath.Join(dir, "acaciad-production")
	run(filepath.Join(dir, "acaciad"), "go", "build", "-buildvcs=false", "-o", binary, ".")
	return binary
}

// replaceDaemon replaces the next daemon by one of the other build, unless one is being replaced or
// another fault is restarting that daemon.
func (f *faultInjector) replaceDaemon() {
	vms := f.cluster.vms
	turn, v := f.upgrades.replaced/daemonCount, vms[f.upgrades.replaced%len(vms)]
	if f.random.IntN(2) == 0 || f.isRestarting(v) || f.upgrades.last != nil && f.isRestarting(f.upgrades.last) {
		return
	}
	f.upgrades.last = v
	f.upgrades.replaced++
	v.setBinary(f.upgrades.builds[(turn+1)%2])
	f.record(fmt.Sprintf("%s is replaced by build %d", v.name, (turn+1)%2))
	f.restart(v, []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[f.random.IntN(3)])
}

// isRestarting reports whether a daemon is being restarted.
func (f *faultInjector) isRestarting(v *vm) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarting[v]
}

// checkVersions checks that streams went on at the software version that began them, in one answer
// or when the caller took them up.
func (cl *cluster) checkVersions(streams []stream) {
	runs := make(map[string][]run)
	for _, s := range cl.servers {
		for _, received := range s.ReceivedRequests() {
			if id := received.Header.Get("X-Attempt-Id"); received.Ran && received.Path == "/reply/" {
				runs[id] = append(runs[id], run{version: s.version, request: received})
			}
		}
	}
	taken := make(map[string]bool)
	mixed, wentOn := 0, 0
	check := func(ids stream) {
		var all []run
		for _, id := range ids {
			all = append(all, runs[id]...)
		}
		began := make(map[string]bool)
		for _, r := range all {
			if r.request.Header.Get("Last-Event-Id") == "" {
				began[r.version] = true
			}
		}
		if len(began) != 1 {
			return // it is not known which of them brought the first event
		}
		if len(ids) > 1 && len(all) > len(runs[ids[0]]) {
			wentOn++
		}
		for _, r := range all {
			if !began[r.version] {
				mixed++
				cl.Logf("stream %s went on at version %s", ids, r.version)
				return
			}
		}
	}
	for _, ids := range streams {
		taken[ids[0]] = true
		check(ids)
	}
	for id := range runs {
		if !taken[id] {
			check(stream{id})
		}
	}
	cl.Logf("%d streams were taken up again, %d of them went on, %d streams of two versions", len(streams), wentOn, mixed)
	if mixed > maxMixedStreams {
		cl.Errorf("%d streams hold events of two versions, at most %d may", mixed, maxMixedStreams)
	}
}

// run is a request that a server began to run.
type run struct {
	version string
	request platformtest.ReceivedRequest
}
