// Command 6 plays case 6: replicas whose answers have neither a length nor chunks are killed in the
// middle of answers. Called with the word replica it is such a replica.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/review/second/fleet"
	"acaciapath.example/standin/loopback"
)

// Times and sizes of the case. Those after the beginning count from it.
const (
	settleTime = 3 * time.Second
	// replicasPerService replicas serve each service. One of them (a share of 0.25, as in the site
	// file) is killed at each of crashTimes, and started again after downTime.
	replicasPerService = 4
	downTime           = 2 * time.Second
	// length is how long clients send requests, each kind at requestRate a second.
	length      = 20 * time.Second
	requestRate = 8
	// An answer of a replica that does not stream comes in parts, partPause apart. A stream has
	// events events, eventPause apart.
	parts      = 5
	partPause  = 100 * time.Millisecond
	events     = 20
	eventPause = 100 * time.Millisecond
	deadline   = 6 * time.Second
)

// crashTimes are when replicas are killed.
var crashTimes = []time.Duration{3 * time.Second, 9 * time.Second, 15 * time.Second}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		if err := serve(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		return
	}
	code, err := play()
	if err != nil {
		fmt.Println("cannot run:", err)
		code = fleet.CannotRun
	}
	os.Exit(code)
}

// serve is a replica with an id at an address, which was born at a Unix millisecond. Its answers end
// with their channels.
func serve(id, address, born string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go answer(connection, id, born)
	}
}

// answer answers the request on a connection.
func answer(connection net.Conn, id, born string) {
	defer connection.Close()
	r, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	write := func(format string, values ...any) bool {
		_, err := fmt.Fprintf(connection, format, values...)
		return err == nil
	}
	switch {
	case r.URL.Path == "/healthz":
		write("HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	case r.URL.Path == "/acaciapath/report":
		write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"phase\":\"mixed\",\"state\":\"ready\",\"runs\":[],\"born\":%s}", born)
		return
	case r.Header.Get("X-Expected-Replica") != id:
		write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	fmt.Printf("replica %s runs attempt %s of %s from event %q\n", id, attempt, r.URL.Path, r.Header.Get("Last-Event-Id"))
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Replica-Signature: 3e1b.07.stand-in\r\nConnection: close\r\n"
	if !strings.HasPrefix(r.URL.Path, "/reply/") {
		ok := write("%sContent-Type: text/plain\r\n\r\n", head)
		size := len(fleet.PlainBody) / parts
		for i := 0; ok && i < parts; i++ {
			time.Sleep(partPause)
			ok = write("%s", fleet.PlainBody[i*size:(i+1)*size])
		}
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none counts as 0
	ok := write("%sContent-Type: text/event-stream\r\n\r\n", head)
	for i := last + 1; ok && i <= events; i++ {
		time.Sleep(eventPause)
		ok = write("id: %d\ndata: v1 %s\n\n", i, id)
	}
}

// replica is a replica process.
type replica struct {
	id, service, address string
	born                 int64
	process              *exec.Cmd
	done                 chan struct{}
}

// start starts the process, whose output goes to the record.
func (r *replica) start(f *fleet.Fleet) error {
	r.born = time.Now().UnixMilli()
	r.process = exec.Command(os.Args[0], "replica", r.id, r.address, strconv.FormatInt(r.born, 10))
	out, err := r.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := f.Start(r.process); err != nil {
		return err
	}
	done := make(chan struct{})
	r.done = done
	go func() {
		defer close(done)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			f.Record("%s", lines.Text())
		}
	}()
	return nil
}

// kill kills the process.
func (r *replica) kill(f *fleet.Fleet) {
	_ = r.process.Process.Kill() // it may have ended
	<-r.done
	f.Wait(r.process)
}

// writeConfig writes the desired state.
func writeConfig(f *fleet.Fleet) {
	route := func(name, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": fleet.Host, "prefix": "/" + name + "/", "type": kind, "timeoutMs": deadline.Milliseconds(),
			"targetLatencyMs": 800, "gapTargetMs": 600, "service": service, "maxAttempts": 2, "streamResume": resume, "sessionAffinity": resume,
		}
	}
	f.Store.Write("op", "config", map[string]any{
		"version": 3,
		"routes":  []any{route("order", "unsafe", "shop", false), route("look", "safe", "shop", false), route("reply", "streaming", "llm", true)},
		"services": []any{
			map[string]any{"name": "shop", "healthPath": "/healthz"},
			map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 200000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
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
	var replicas []*replica
	defer func() {
		for _, r := range replicas {
			r.kill(f)
		}
	}()
	for i := range replicasPerService {
		for _, service := range []string{"shop", "llm"} {
			address, err := loopback.FreeAddress()
			if err != nil {
				return 0, err
			}
			r := &replica{id: fmt.Sprintf("i-%s-%d", service, i), service: service, address: address}
			if err := r.start(f); err != nil {
				return 0, err
			}
			replicas = append(replicas, r)
			f.Store.Write("servers", r.id, map[string]any{
				"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
				"coldRemainingMs": 0, "sequence": 1, "born": r.born,
			})
		}
	}
	vms := make([]*fleet.VM, 3)
	for i := range vms {
		vms[i], err = f.AddVM(fleet.Options{Name: fmt.Sprintf("edge-zone-a-%d", i+1), Zone: "zone-a", Zones: map[string]string{"zone-a": "region-a"}, Store: f.Store.Address(), Duties: []string{"usage_report"}})
		if err != nil {
			return 0, err
		}
		if err := vms[i].Start(); err != nil {
			return 0, err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	began := time.Now()
	c := &clients{fleet: f, vms: vms}
	var running sync.WaitGroup
	running.Go(func() { c.send(began.Add(length)) })
	for n, at := range crashTimes {
		if !trouble {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		crashed := replicas[2*n : 2*n+2]
		for _, r := range crashed {
			f.Record("disruption: replica %s is killed", r.id)
			r.kill(f)
		}
		time.Sleep(downTime)
		for _, r := range crashed {
			if err := r.start(f); err != nil {
				return 0, err
			}
			f.Record("replica %s is back", r.id)
			f.Store.Write("servers", r.id, map[string]any{
				"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
				"coldRemainingMs": 0, "sequence": 1, "born": r.born,
			})
		}
	}
	running.Wait()
	return c.judge(), nil
}

// clients send requests and count what they got.
type clients struct {
	fleet *fleet.Fleet
	vms   []*fleet.VM

	mu sync.Mutex // guards the fields below
	// whole, broken and cut are the numbers of answers with success that were whole, that were
	// visibly broken off, and that looked complete but lacked a part, by path.
	whole, broken, cut map[string]int
	other              int
}

// send sends requests until a time and waits for their answers.
func (c *clients) send(until time.Time) {
	c.whole, c.broken, c.cut = make(map[string]int), make(map[string]int), make(map[string]int)
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	var running sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		for _, path := range []string{"/order/", "/look/", "/reply/"} {
			running.Go(func() { c.request(path, i) })
		}
	}
	running.Wait()
}

// request sends one request and counts its answer.
func (c *clients) request(path string, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method, id := http.MethodPost, fmt.Sprintf("%s-%d", strings.Trim(path, "/"), number)
	if path == "/look/" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.vms[number%len(c.vms)].Frontend+path+"x", nil)
	if err != nil {
		return
	}
	request.Host = fleet.Host
	h := request.Header
	h.Set("Authorization", "Bearer key-a")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if path == "/reply/" {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", "400,60")
		h.Set("X-Prefix-Hash", fmt.Sprintf("%x:300,%x:100", 16+number%4, 4096+number))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		if err == nil {
			_ = response.Body.Close()
			c.fleet.Record("client: %s: status %d", id, response.StatusCode)
		} else {
			c.fleet.Record("client: %s: %v", id, err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.other++
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	isWhole := string(body) == fleet.PlainBody
	if path == "/reply/" {
		isWhole = strings.Contains(string(body), fmt.Sprintf("id: %d\n", events))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.broken[path]++
		c.fleet.Record("client: %s: broken off after %d bytes: %v", id, len(body), err)
	case !isWhole:
		c.cut[path]++
		c.fleet.Record("client: %s: status 200, length %d, signature %q, ends as complete after %d bytes: %q",
			id, response.ContentLength, response.Header.Get("X-Replica-Signature"), len(body), body)
	default:
		c.whole[path]++
	}
}

// judge applies the rules: no answer that ends early may look complete.
func (c *clients) judge() int {
	text := fmt.Sprintf("answers with success, by path: whole %v, visibly broken off %v, cut but complete to the client %v; other ends: %d", c.whole, c.broken, c.cut, c.other)
	c.fleet.Record("%s", text)
	fmt.Println(text)
	switch {
	case len(c.whole) < 3:
		fmt.Println("the case did not come about")
		return fleet.CannotRun
	case len(c.cut) > 0:
		fmt.Println("MIXED and ORDER are broken")
		return fleet.Broken
	}
	fmt.Println("MIXED and ORDER hold")
	return fleet.Held
}
