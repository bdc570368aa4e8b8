// Command 10 plays case 10: clients that nobody controls send many chunked bodies at once, stop short
// of their ends and stay open. Ordinary clients send small requests meanwhile.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/review/second/fleet"
)

// Times and sizes of the case.
const (
	// hostileCount clients have one channel each at a time, from hostileAddresses addresses. They
	// open it within rampTime, and another one reopenPause after the daemon has closed it.
	hostileCount     = 4000
	hostileAddresses = 30
	rampTime         = 5 * time.Second
	reopenPause      = time.Second
	// sentBytes of a body are sent, in chunks of chunkBytes; its last bytes never follow.
	sentBytes  = 600
	chunkBytes = 20
	// stayTime bounds how long a hostile client stays.
	stayTime = 30 * time.Second
	// ordinaryRate is the number of requests a second of ordinary clients, half of them on kept
	// channels, and calmTime and attackTime how long they are sent before the attack and, after
	// rampTime, during it.
	ordinaryRate = 40
	calmTime     = 5 * time.Second
	attackTime   = 20 * time.Second
	// routeTimeout is that of the longest route in the site file, and ordinaryDeadline what
	// ordinary clients wait.
	routeTimeout     = 15 * time.Second
	ordinaryDeadline = 2 * time.Second
)

func main() {
	code, err := play()
	if err != nil {
		fmt.Println("cannot run:", err)
		code = fleet.CannotRun
	}
	os.Exit(code)
}

// writeConfig writes the desired state.
func writeConfig(f *fleet.Fleet) {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": fleet.Host, "prefix": "/" + name + "/", "type": kind, "timeoutMs": routeTimeout.Milliseconds(),
			"targetLatencyMs": 400, "service": "shop", "maxAttempts": 1,
		}
	}
	f.Store.Write("op", "config", map[string]any{
		"version": 3, "routes": []any{route("order", "unsafe"), route("look", "safe")},
		"services": []any{map[string]any{"name": "shop", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 200000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{
			map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}},
			map[string]any{"name": "tenant-b", "apiKeys": []string{"key-b"}},
		},
	})
}

// play plays the case and returns its exit code.
func play() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := fleet.New(os.Getenv("RECORD"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	f.Record("trouble: %t", trouble)
	writeConfig(f)
	replica := &fleet.Replica{ID: "i-0", Version: "v1", Service: "shop", Zone: "zone-a", Pause: 20 * time.Millisecond}
	replica.Start()
	defer replica.Close()
	f.Write(replica, "ready")
	vm, err := f.AddVM(fleet.Options{Name: "edge-zone-a-1", Zone: "zone-a", Zones: map[string]string{"zone-a": "region-a"}, Store: f.Store.Address(), Duties: []string{"usage_report"}})
	if err != nil {
		return 0, err
	}
	if err := vm.Start(); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	o := newOrdinary(f, vm.Frontend)
	before := o.send(calmTime)
	var stop atomic.Bool
	var hostile sync.WaitGroup
	counts := &hostileCounts{answers: make(map[string]int)}
	if trouble {
		f.Record("disruption: %d hostile clients", hostileCount)
		for i := range hostileCount {
			hostile.Go(func() { attack(vm.Frontend, i, &stop, counts) })
		}
	}
	time.Sleep(rampTime)
	during := o.send(attackTime)
	stop.Store(true)
	f.Record("%d hostile channels opened, answered: %v, closed without an answer: %d", counts.opened, counts.answers, counts.closed)
	f.Record("the daemon has ended: %t, its memory: %s", vm.Exited(), memoryOf(vm))
	f.RecordRuns([]*fleet.Replica{replica})
	return judge(f, before, during), nil
}

// memoryOf returns the peak of a daemon's memory.
func memoryOf(vm *fleet.VM) string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.PID()))
	if err != nil {
		return "not known"
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "not known"
}

// hostileCounts counts what hostile clients saw.
type hostileCounts struct {
	mu             sync.Mutex
	opened, closed int
	answers        map[string]int
}

// attack is one hostile client.
func attack(address string, number int, stop *atomic.Bool, counts *hostileCounts) {
	time.Sleep(rampTime * time.Duration(number) / hostileCount)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number%hostileAddresses))}}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("b", chunkBytes))
	for n := 0; !stop.Load(); n++ {
		connection, err := dialer.Dial("tcp", address)
		if err == nil {
			_, _ = fmt.Fprintf(connection, "POST /order/h HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: hostile-%d-%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-b\r\nTransfer-Encoding: chunked\r\n\r\n%s",
				fleet.Host, number, n, routeTimeout.Milliseconds(), strings.Repeat(chunk, sentBytes/chunkBytes)) // an error shows in the read
			_ = connection.SetReadDeadline(time.Now().Add(stayTime))
			answer, _ := io.ReadAll(io.LimitReader(connection, 64))
			_ = connection.Close()
			line, _, _ := strings.Cut(string(answer), "\r\n")
			counts.mu.Lock()
			counts.opened++
			if line == "" {
				counts.closed++
			} else {
				counts.answers[line]++
			}
			counts.mu.Unlock()
		}
		time.Sleep(reopenPause)
	}
}

// result is how requests of ordinary clients ended: by status, or 0 without an answer.
type result map[int]int

// ordinary are ordinary clients.
type ordinary struct {
	fleet       *fleet.Fleet
	address     string
	kept, fresh *http.Transport
	next        int
}

func newOrdinary(f *fleet.Fleet, address string) *ordinary {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	return &ordinary{
		fleet: f, address: address,
		kept:  &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: ordinaryRate},
		fresh: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}
}

// send sends requests for a time and returns how they ended. A request that a client sends once more
// after its kept channel was closed counts once.
func (o *ordinary) send(length time.Duration) result {
	ticker := time.NewTicker(time.Second / ordinaryRate)
	defer ticker.Stop()
	results := make(result)
	var mu sync.Mutex
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); o.next++ {
		<-ticker.C
		number := o.next
		running.Go(func() {
			status := o.request(number)
			mu.Lock()
			defer mu.Unlock()
			results[status]++
		})
	}
	running.Wait()
	return results
}

// request sends one request and returns the status of its answer, or 0.
func (o *ordinary) request(number int) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+o.address+"/look/o", nil)
	if err != nil {
		return 0
	}
	request.Host = fleet.Host
	request.Header.Set("Authorization", "Bearer key-a")
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("ordinary-%d", number))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(ordinaryDeadline.Milliseconds(), 10))
	transport := o.fresh
	if number%2 == 0 {
		transport = o.kept
	}
	client := &http.Client{Transport: transport, Timeout: ordinaryDeadline}
	response, err := client.Do(request)
	if err != nil {
		o.fleet.Record("ordinary request %d: %v", number, err)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && string(body) != fleet.PlainBody {
		o.fleet.Record("ordinary request %d: status %d, broken body", number, response.StatusCode)
		return 0
	}
	return response.StatusCode
}

// judge applies what must hold: ordinary callers still get answers. It is broken if most get none.
func judge(f *fleet.Fleet, before, during result) int {
	total := 0
	for _, n := range during {
		total += n
	}
	text := fmt.Sprintf("ordinary requests by status, 0 without an answer: %v before, %v during %s", before, during, attackTime)
	f.Record("%s", text)
	fmt.Println(text)
	if before[http.StatusOK] == 0 || total == 0 {
		fmt.Println("the case did not come about")
		return fleet.CannotRun
	}
	if 2*during[0] > total {
		fmt.Println("broken: most ordinary callers get no answer")
		return fleet.Broken
	}
	fmt.Println("held: ordinary callers get answers")
	return fleet.Held
}
