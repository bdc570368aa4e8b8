// Case 13: hostile clients send heads inside the limit with long lists of prompt parts, and chunked
// bodies that mostly stop one byte short. The daemon must stay within the memory of its machine.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

// What the hostile clients send.
const (
	// hostilePerMachine is the number of their channels at a machine.
	hostilePerMachine = 2000
	// hostileAddresses is the number of addresses from which they come.
	hostileAddresses = 60
	// completePercent is the share of the bodies that are sent to the end, in percent.
	completePercent = 30
	// promptParts is the number of entries of X-Prefix-Hash. The head stays below the
	// 16,384 bytes of the limits.
	promptParts = 3900
	// chunkBytes is the size of the one chunk of a body.
	chunkBytes = 4096
	// headPause is the time between the head and the body of a request.
	headPause = 300 * time.Millisecond
	// hostileDeadline is the deadline that they state.
	hostileDeadline = 12 * time.Second
	// hostileSpread is the time within which they begin, so that a link of 1,000 Mbit/s has room.
	hostileSpread = time.Second
	// hostileRetry is the time until they open another channel after one was refused or ended.
	hostileRetry = 200 * time.Millisecond
)

// The platform's part, and the length of the run.
const (
	// memoryMB is the memory of a machine (sites/calcetin-ruta.toml).
	memoryMB = 284
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// minEnds is the number of ends of each process after which the run is over, and minMachines
	// the number of machines with hostile clients.
	minEnds, minMachines = 3, 2
	// allowed is the number of requests from kept channels that a machine may pass on and leave
	// without an answer.
	allowed = 3
	// calm is the time without hostile clients, over contactMs (4,000), and runTime bounds the time with them.
	calm, runTime = 6 * time.Second, 75 * time.Second
	// calmRunTime is the time of a run without the disruption.
	calmRunTime = 15 * time.Second
)

// The ordinary callers at each machine, each with a kept channel.
const (
	ordinaryClients  = 10
	ordinaryInterval = 20 * time.Millisecond
	ordinaryDeadline = 2 * time.Second
	// ordinaryRetry is the time until one opens another channel.
	ordinaryRetry = 200 * time.Millisecond
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 2*hostilePerMachine+1000 {
		l.Fail("too few file descriptors: %d", files.Cur)
	}
	var shops []*platformtest.Server
	for i := range 3 {
		shop := platformtest.NewServer(fmt.Sprint("i-shop-", i), 0)
		shop.SetPause(60 * time.Millisecond)
		l.Register(shop, "tienda", lab.ZoneNames[i], "ready")
		shops = append(shops, shop)
	}
	for i := range 9 {
		model := platformtest.NewServer(fmt.Sprint("i-model-", i), 20)
		model.SetPause(500 * time.Millisecond)
		l.Register(model, "asistente", lab.ZoneNames[i%3], "ready")
	}
	lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes: []lab.Route{
			{Name: "renewal-charge", Type: "unsafe", Service: "tienda", TimeoutMS: 2000, TargetMS: 400, MaxAttempts: 1},
			{Name: "curation-letter", Type: "streaming", Service: "asistente", TimeoutMS: 12000, TargetMS: 2000, MaxAttempts: 1, Engine: true},
		},
		Services: []map[string]any{
			{"name": "tienda", "healthPath": "/healthz", "maxConnections": 110},
			{"name": "asistente", "healthPath": "/healthz", "maxConnections": 370},
		},
	}.Write(l.Store)
	for _, zone := range lab.ZoneNames {
		l.AddDaemon(zone, lab.DaemonOptions{MemoryMB: memoryMB}).Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	time.Sleep(calm)
	r := &run{Lab: l, end: make(chan struct{}), ends: make([]atomic.Int64, len(l.Daemons)), closed: make([][]string, len(l.Daemons))}
	for i := range l.Daemons {
		r.tasks.Go(func() { r.supervise(i) })
		for range ordinaryClients {
			r.tasks.Go(func() { r.callOrdinarily(i) })
		}
	}
	length := calmRunTime
	if l.Trouble {
		length = runTime
		l.Note("%d hostile channels at each of %d machines begin", hostilePerMachine, minMachines)
		for _, d := range l.Daemons[:minMachines] {
			for i := range hostilePerMachine {
				r.tasks.Go(func() { r.press(d, i) })
			}
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end) && r.machinesEnded() < minMachines; {
		time.Sleep(100 * time.Millisecond)
	}
	close(r.end)
	r.tasks.Wait()
	lost := r.countLost(shops)
	l.Verdict(slices.Max(lost) > allowed, "requests of kept channels that were passed on and left without an answer, by machine: %v, allowed %d each; ends of processes over %d MB: %s; ordinary requests answered %d, not answered %d",
		lost, allowed, memoryMB, r.endsText(), r.served.Load(), r.unserved.Load())
}

// run is what happens at the same time.
type run struct {
	*lab.Lab
	end   chan struct{}
	tasks sync.WaitGroup
	// ends are the numbers of ends of the processes, by machine.
	ends             []atomic.Int64
	served, unserved atomic.Int64

	mu sync.Mutex // guards closed
	// closed are the requests whose kept channels ended without an answer, by machine.
	closed [][]string
}

// countLost returns the number of requests of kept channels that replicas ran and that got no answer, by
// machine.
func (r *run) countLost(shops []*platformtest.Server) []int {
	ran := make(map[string]bool)
	for _, shop := range shops {
		for _, received := range shop.ReceivedRequests() {
			ran[received.Header.Get("X-Attempt-Id")] = ran[received.Header.Get("X-Attempt-Id")] || received.Ran
		}
	}
	lost := make([]int, len(r.closed))
	for machine, ids := range r.closed {
		for _, id := range ids {
			if ran[id] {
				lost[machine]++
				r.Note("%s ran at a replica, and its kept channel at %s ended without an answer", id, r.Daemons[machine].Name)
			}
		}
	}
	return lost
}

// ended reports whether the run is over.
func (r *run) ended() bool {
	select {
	case <-r.end:
		return true
	default:
		return false
	}
}

// machinesEnded returns the number of machines whose processes ended minEnds times.
func (r *run) machinesEnded() int {
	n := 0
	for i := range r.ends {
		if r.ends[i].Load() >= minEnds {
			n++
		}
	}
	return n
}

// endsText returns the numbers of ends.
func (r *run) endsText() string {
	var list []string
	for i := range r.ends {
		list = append(list, fmt.Sprint(r.ends[i].Load()))
	}
	return strings.Join(list, ", ")
}

// supervise kills the process of a machine when it exceeds the machine's memory, and starts it
// again, as the platform does. Only anonymous memory counts.
func (r *run) supervise(machine int) {
	d := r.Daemons[machine]
	most := 0.0
	for !r.ended() {
		time.Sleep(memoryInterval)
		now, _ := d.MemoryMB()
		most = max(most, now)
		if now <= memoryMB && !d.HasEnded() {
			continue
		}
		r.Note("%s has %.0f MB of anonymous memory, over %d MB: killed", d.Name, now, memoryMB)
		d.Kill()
		r.ends[machine].Add(1)
		time.Sleep(restartDelay)
		if !r.ended() {
			d.Start()
		}
	}
	r.Note("%s had at most %.0f MB of anonymous memory", d.Name, most)
}

// callOrdinarily sends requests of an ordinary caller to a machine, on a channel that it keeps.
func (r *run) callOrdinarily(machine int) {
	for !r.ended() {
		r.keepChannel(machine)
		time.Sleep(ordinaryRetry)
	}
}

// keepChannel sends requests on one channel until that ends.
func (r *run) keepChannel(machine int) {
	d := r.Daemons[machine]
	c, err := lab.Dial("127.9.9.9", d.Callers)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for answered := 0; !r.ended(); answered++ {
		request := lab.Request{Method: "POST", Path: "/renewal-charge/1", ID: lab.NewAttemptID(), Body: "{}", Deadline: ordinaryDeadline}
		_ = c.SetDeadline(time.Now().Add(ordinaryDeadline)) // an error shows in the read
		if _, err = io.WriteString(c, request.Head(strconv.Itoa(len(request.Body)))+request.Body); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: request.Method})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			r.unserved.Add(1)
			r.Note("%s at %s after %d answers on its channel: %v", request.ID, d.Name, answered, err)
			if answered > 0 && !errors.Is(err, os.ErrDeadlineExceeded) { // otherwise the channel is open
				r.mu.Lock()
				r.closed[machine] = append(r.closed[machine], request.ID)
				r.mu.Unlock()
			}
			return
		}
		r.served.Add(1)
		if response.Close {
			return
		}
		time.Sleep(ordinaryInterval)
	}
}

// press is one hostile client: it sends one request after the other, each on a new channel.
func (r *run) press(d *lab.Daemon, client int) {
	time.Sleep(hostileSpread * time.Duration(client) / hostilePerMachine)
	for !r.ended() {
		r.sendHostile(d, client)
		select {
		case <-time.After(hostileRetry):
		case <-r.end:
		}
	}
}

// sendHostile sends one hostile request and keeps its channel open until the daemon closes it.
func (r *run) sendHostile(d *lab.Daemon, client int) {
	c, err := lab.Dial(fmt.Sprintf("127.8.8.%d", 1+client%hostileAddresses), d.Callers)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-r.end:
		case <-closed:
		}
		_ = c.Close() // it may be closed already
	}()
	_ = c.SetDeadline(time.Now().Add(2 * hostileDeadline)) // an error shows in the write
	request := lab.Request{
		Method: "POST", Path: "/curation-letter/1", ID: lab.NewAttemptID(), Deadline: hostileDeadline, Key: lab.HostileKey,
		Header: map[string]string{
			"Transfer-Encoding": "chunked", "X-Model": "m", "X-Token-Usage": "3720,60",
			"X-Prefix-Hash": strings.TrimSuffix(strings.Repeat("1:1,", promptParts), ","),
		},
	}
	if _, err := c.Write([]byte(request.Head(""))); err != nil {
		return
	}
	time.Sleep(headPause)
	body := fmt.Sprintf("%x\r\n", chunkBytes) + strings.Repeat("x", chunkBytes-1)
	if client%100 < completePercent {
		body += "x\r\n0\r\n\r\n"
	}
	if _, err := c.Write([]byte(body)); err != nil {
		return
	}
	buffer := make([]byte, 512)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}
