package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// brittleServers are the backend servers of a service, which run a few requests at once and let
// a few wait. Once they are brittle, they say so, a while later they let fewer wait, and one that
// rejects more than a number of requests within a second is down for a while.
type brittleServers struct {
	*deployment
	// slots, queue and brittleQueue are the numbers of requests that run and wait.
	slots, queue, brittleQueue int
	// runTime is how long a request runs, and downTime how long a server that fell is down.
	runTime, downTime time.Duration
	// most is the number of rejections in a second that a brittle server bears.
	most int

	mu sync.Mutex // guards the fields below
	// brittleSince is when they began to say that they are brittle, or zero if they are not.
	brittleSince time.Time
	// falls are the times at which servers fell, and served those at which runs ended.
	falls, served []time.Time
	// rejections is the number of rejected requests.
	rejections int
}

// brittleServer is one of brittleServers.
type brittleServer struct {
	servers *brittleServers
	id      string
	http    *httptest.Server

	mu               sync.Mutex // guards the fields below
	running, waiting int
	freed            *sync.Cond
	rejected         []time.Time
	downUntil        time.Time
}

// start starts n servers and lists them.
func (f *brittleServers) startServers(n int) {
	for i := range n {
		s := &brittleServer{servers: f, id: fmt.Sprintf("i-%d", i)}
		s.freed = sync.NewCond(&s.mu)
		s.http = loopback.NewServer(s)
		f.Cleanup(s.http.Close)
		f.store.Write("servers", s.id, map[string]any{
			"service": "shop", "address": strings.TrimPrefix(s.http.URL, "http://"), "zone": "z", "version": "v1",
			"slots": f.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int64(1000),
		})
	}
}

// setBrittle sets whether the servers say that they are brittle.
func (f *brittleServers) setBrittle(brittle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittleSince = time.Time{}
	if brittle {
		f.brittleSince = time.Now()
	}
}

// state returns whether the servers are brittle, and how many requests may wait at one.
func (f *brittleServers) state() (brittle bool, queue int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	brittle = !f.brittleSince.IsZero()
	if brittle && time.Since(f.brittleSince) >= contactTime {
		return true, f.brittleQueue
	}
	return brittle, f.queue
}

// countAfter returns the number of times that are after a time.
func countAfter(times []time.Time, after time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) {
			n++
		}
	}
	return n
}

// fallsAfter and servedAfter return the numbers of falls and of served requests after a time.
func (f *brittleServers) fallsAfter(after time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return countAfter(f.falls, after)
}

func (f *brittleServers) servedAfter(after time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return countAfter(f.served, after)
}

// ServeHTTP runs a request, lets it wait, or rejects it.
func (s *brittleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.servers
	brittle, queue := f.state()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if brittle {
		w.Header().Set("Server-Brittle", strconv.Itoa(f.most))
	}
	if !s.enter(brittle, queue) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.runTime)
	s.leave()
	w.Header().Set("X-Replica-Signature", platformtest.Signature)
	_, _ = fmt.Fprint(w, "done")
}

// enter waits for a slot. It returns false if the request is rejected, and breaks the connection
// off if the server is down.
func (s *brittleServer) enter(brittle bool, queue int) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if s.running >= s.servers.slots && s.waiting >= queue {
		s.reject(brittle, now)
		return false
	}
	s.waiting++
	for s.running >= s.servers.slots {
		s.freed.Wait()
	}
	s.waiting--
	s.running++
	return true
}

// reject records a rejection. If there were too many within a second, the server falls. The
// caller holds s.mu.
func (s *brittleServer) reject(brittle bool, now time.Time) {
	s.rejected = append(s.rejected, now)
	for now.Sub(s.rejected[0]) >= time.Second {
		s.rejected = s.rejected[1:]
	}
	f := s.servers
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejections++
	if brittle && len(s.rejected) > f.most {
		f.falls = append(f.falls, now)
		s.downUntil, s.rejected = now.Add(f.downTime), nil
		go s.http.CloseClientConnections()
	}
}

// leave frees the slot of a request that ended.
func (s *brittleServer) leave() {
	f := s.servers
	now := time.Now()
	s.mu.Lock()
	s.running--
	s.freed.Signal()
	down := now.Before(s.downUntil)
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	f.served = append(f.served, now)
	f.mu.Unlock()
}

// contactTime is contactMs of the deployments.
const contactTime = 4 * time.Second

// lookRefused sends a request to /look/ and reports whether it was refused.
func (r *runningDaemon) lookRefused(id string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.settings.CallersAddress+"/look/", nil)
	if err != nil {
		return true
	}
	request.Host = "shop.example"
	request.Header.Set("Authorization", "Bearer k")
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return true
	}
	defer response.Body.Close()
	return response.StatusCode != http.StatusOK
}

// press sends requests at a rate a second through the daemons for a time, and returns how many
// were sent and how many refused. Those that are refused are not sent again.
func (f *brittleServers) press(daemons []*runningDaemon, rate float64, duration time.Duration) (sent, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for time.Since(start) < duration {
		due := int(time.Since(start).Seconds() * rate)
		for ; sent < due; sent++ {
			id := fmt.Sprintf("press-%d-%d", start.UnixNano(), sent)
			group.Go(func() {
				if daemons[rand.IntN(len(daemons))].lookRefused(id) {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return sent, refused
}

// TestBrittleServersStand has brittle servers before several daemons that get twice what the
// servers can run. From the contact time on, they may fall 2 times and a tenth of their number,
// and must run nine tenths of what they can. Where half of what they can run comes, nothing may be
// refused.
func TestBrittleServersStand(t *testing.T) {
	const (
		servers  = 4
		duration = 12 * time.Second
	)
	for _, most := range []int{1, 2, 5} {
		t.Run(fmt.Sprintf("%d rejections a second", most), func(t *testing.T) {
			f := &brittleServers{
				deployment: newDeployment(t), slots: 6, queue: 6, brittleQueue: 1,
				runTime: 200 * time.Millisecond, downTime: 2 * time.Second, most: most,
			}
			f.writeConfig(3, "k")
			f.startServers(servers)
			var daemons []*runningDaemon
			for i := range 3 {
				daemons = append(daemons, f.startWithNeighbours(fmt.Sprintf("vm-%d", i)))
			}
			f.eventually("the daemons serve and know each other", func() bool {
				for _, r := range daemons {
					if r.lookStatus("k") != http.StatusOK || !strings.Contains(r.log.String(), `"neighbours":2`) {
						return false
					}
				}
				return true
			})
			capacity := float64(servers*f.slots) / f.runTime.Seconds()
			f.setBrittle(true)
			_, refused := f.press(daemons, capacity/2, contactTime+2*time.Second)
			f.Check(refused, qt.Equals, 0, qt.Commentf("refused while half of the slots are free"))
			from := time.Now()
			f.press(daemons, 2*capacity, duration)
			falls, served := f.fallsAfter(from), f.servedAfter(from)
			f.Check(float64(falls) <= 2+0.1*servers, qt.IsTrue, qt.Commentf("servers fell %d times", falls))
			f.Check(float64(served) >= 0.9*capacity*duration.Seconds(), qt.IsTrue,
				qt.Commentf("%d requests run, %.0f can", served, capacity*duration.Seconds()))
			f.Logf("falls %d, served %d of %.0f, rejections %d", falls, served, capacity*duration.Seconds(), f.rejections)
			f.setBrittle(false)
			f.eventually("the servers are no longer taken as brittle", func() bool {
				_, refused := f.press(daemons, capacity/2, 500*time.Millisecond)
				return refused == 0
			})
		})
	}
}
