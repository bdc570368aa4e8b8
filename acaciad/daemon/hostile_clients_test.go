package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The crowd of hostile clients, the limits of its requests, and those of the process.
const (
	hostileConnections = 40
	hostileBodyBytes   = 4 << 20
	hostileHeadBytes   = 16 << 10
	hostileMemory      = 64 << 20
	hostileDescriptors = 400
	// idleConnections is the size of a crowd that sends nothing.
	idleConnections = 600
)

// hostileWait is how long a hostile client goes on sending to a process that does not read.
const hostileWait = 2 * time.Second

// hostileShape is what each connection of a crowd sends: a prefix, then a text again and
// again, and then nothing more. The connection stays open.
type hostileShape struct {
	name           string
	connections    int
	prefix, repeat string
	// bytes is the total length.
	bytes int
	// pause is the time between two texts.
	pause time.Duration
}

// hostileHead begins a request with a body.
const hostileHead = "POST /look/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: hostile\r\n"

// atPath returns the shape with another path in its requests.
func (s hostileShape) atPath(path string) hostileShape {
	s.prefix = strings.Replace(s.prefix, "/look/", path, 1)
	return s
}

// hostileShapes are the shapes that any port may receive.
func hostileShapes() []hostileShape {
	chunked := hostileHead + "Transfer-Encoding: chunked\r\n\r\n"
	announced := func(bytes int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", hostileHead, bytes) }
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }
	unfinished := func(chunkBytes int) int {
		return len(chunked) + (hostileBodyBytes/chunkBytes-1)*len(chunk(chunkBytes))
	}
	lines := func() string {
		var b strings.Builder
		b.WriteString("GET /look/ HTTP/1.1\r\nHost: shop.example\r\n")
		for i := 0; b.Len() < hostileHeadBytes-8; i++ {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
		return b.String()
	}()
	const many = hostileConnections
	return []hostileShape{
		{name: "unfinished_large_chunks", connections: many, prefix: chunked, repeat: chunk(64 << 10), bytes: unfinished(64 << 10)},
		{name: "unfinished_small_chunks", connections: many, prefix: chunked, repeat: chunk(16), bytes: unfinished(16)},
		{name: "unfinished_announced_body", connections: many, prefix: announced(hostileBodyBytes), repeat: strings.Repeat("x", 64<<10), bytes: hostileBodyBytes},
		{name: "announced_body_that_does_not_come", connections: many, prefix: announced(hostileBodyBytes)},
		{name: "small_body_that_does_not_come", connections: many, prefix: announced(100)},
		{name: "trickled_body", connections: many, prefix: announced(hostileBodyBytes), repeat: "x", bytes: len(announced(hostileBodyBytes)) + 100, pause: 20 * time.Millisecond},
		{name: "announced_far_over_the_limit", connections: many, prefix: announced(1 << 40), repeat: strings.Repeat("x", 64<<10), bytes: 40 << 20},
		{name: "sent_far_over_the_limit", connections: many, prefix: chunked, repeat: chunk(64 << 10), bytes: 40 << 20},
		{name: "chunk_extension_without_end", connections: many, prefix: chunked + "1;", repeat: strings.Repeat("x", 4<<10), bytes: 8 << 20},
		{name: "chunks_with_extensions", connections: many, prefix: chunked, repeat: "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n", bytes: 8 << 20},
		{name: "trailer_without_end", connections: many, prefix: chunked + "0\r\n", repeat: "X-More: 1\r\n", bytes: 8 << 20},
		{name: "request_line_without_end", connections: many, prefix: "GET /look/", repeat: strings.Repeat("x", 4<<10), bytes: 8 << 20},
		{name: "header_line_without_end", connections: many, prefix: hostileHead + "X-Long: ", repeat: strings.Repeat("x", 4<<10), bytes: 8 << 20},
		{name: "headers_without_end", connections: many, prefix: hostileHead, repeat: "X-More: 1\r\n", bytes: 8 << 20},
		{name: "empty_lines_without_end", connections: many, repeat: strings.Repeat("\r\n", 2<<10), bytes: 8 << 20},
		{name: "unfinished_head_of_short_lines", connections: many, prefix: lines},
		{name: "unfinished_head_of_one_line", connections: many, prefix: hostileHead + "X-Long: " + strings.Repeat("x", hostileHeadBytes-1<<10)},
		{name: "idle_connections", connections: idleConnections},
	}
}

// send sends a shape on a new connection, until it is sent, the connection is closed or the
// process does not read. It returns the connection, or nil if there is none.
func (s hostileShape) send(address string) net.Conn {
	connection, err := net.DialTimeout("tcp4", address, hostileWait)
	if err != nil {
		return nil
	}
	repeat := []byte(s.repeat)
	if s.pause == 0 && len(repeat) > 0 {
		repeat = bytes.Repeat(repeat, max(64<<10/len(repeat), 1))
	}
	sent := 0
	write := func(p []byte) bool {
		_ = connection.SetWriteDeadline(time.Now().Add(hostileWait)) // an error shows in the write
		n, err := connection.Write(p)
		sent += n
		return err == nil
	}
	for ok := write([]byte(s.prefix)); ok && sent < s.bytes-1; time.Sleep(s.pause) {
		ok = write(repeat[:min(len(repeat), s.bytes-1-sent)])
	}
	return connection
}

// sendAll sends a shape on all connections of its crowd, and returns them.
func (s hostileShape) sendAll(c *qt.C, address string) *crowd {
	result := &crowd{}
	c.Cleanup(result.close)
	var group sync.WaitGroup
	for range s.connections {
		group.Go(func() {
			if connection := s.send(address); connection != nil {
				result.mu.Lock()
				result.open = append(result.open, connection)
				result.mu.Unlock()
			}
		})
	}
	group.Wait()
	return result
}

// crowd has the connections of hostile clients.
type crowd struct {
	mu   sync.Mutex
	open []net.Conn
}

// close closes the connections.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.open {
		_ = connection.Close() // the process may have closed it
	}
	c.open = nil
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(c *qt.C, pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	c.Assert(err, qt.IsNil, qt.Commentf("the process has ended"))
	return len(entries)
}

// postStatus sends a request with a body of the given length, on a connection of its own, and
// returns the status of the answer, or 0 if there is none.
func (r *runningDaemon) postStatus(key string, bytes int, chunked bool) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.CallersAddress+"/look/", strings.NewReader(strings.Repeat("y", bytes)))
	if err != nil {
		return 0
	}
	if chunked {
		request.ContentLength = -1
	}
	request.Host, request.Close = "shop.example", true
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Attempt-Id", "ordinary")
	client := http.Client{Timeout: waitLimit}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// startForCrowd starts a daemon with little memory and few descriptors, in a process of its own,
// and waits until it serves.
func startForCrowd(t *testing.T) (d *deployment, r *runningDaemon, pid int) {
	d = newDeployment(t)
	d.writeHostileConfig()
	r, pid = d.startWithoutMemory()
	d.eventually("it serves", func() bool { return r.lookStatus("other") == http.StatusOK })
	return d, r, pid
}

// startWithoutMemory starts a daemon with little memory and few descriptors.
func (d *deployment) startWithoutMemory() (r *runningDaemon, pid int) {
	d.registerShop("ready")
	s := d.newSettings("vm-1", freeAddress(d.C))
	s.MemoryBytes, s.MaxDescriptors = hostileMemory, hostileDescriptors
	return d.startProcessWith(s)
}

// largeCrowdMemory and largeCrowdDescriptors are the limits of a VM that meets larger crowds.
const (
	largeCrowdMemory      = 284 << 20
	largeCrowdDescriptors = 4100
)

// TestLargeHostileCrowds has larger crowds at a VM of an ordinary size.
func TestLargeHostileCrowds(t *testing.T) {
	for _, connections := range []int{160, 640} {
		for _, shape := range hostileShapes() {
			if shape.name != "unfinished_large_chunks" && shape.name != "unfinished_head_of_short_lines" && shape.name != "headers_without_end" {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", shape.name, connections), func(t *testing.T) {
				d := newDeployment(t)
				d.writeHostileConfig()
				d.registerShop("ready")
				s := d.newSettings("vm-1", freeAddress(d.C))
				s.MemoryBytes, s.MaxDescriptors = largeCrowdMemory, largeCrowdDescriptors
				r, pid := d.startProcessWith(s)
				d.eventually("it serves", func() bool { return r.lookStatus("other") == http.StatusOK })
				shape.connections = connections
				hostile := shape.sendAll(d.C, r.settings.CallersAddress)
				d.eventually("an ordinary request is answered", func() bool { return r.postStatus("other", 1000, false) == http.StatusOK })
				descriptors := openDescriptors(d.C, pid)
				hostile.close()
				peak := peakMemory(d.C, pid)
				d.Logf("%d MB and %d descriptors at most", peak>>20, descriptors)
				d.Check(descriptors <= largeCrowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
				d.Check(raceDetector || peak <= largeCrowdMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
			})
		}
	}
}

// writeHostileConfig writes a configuration with the limits of these tests.
func (d *deployment) writeHostileConfig() {
	d.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "look", "host": "shop.example", "prefix": "/look/", "type": "safe",
			"timeoutMs": 5000, "targetLatencyMs": 400, "service": "shop", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "shop", "healthPath": "/healthz"}},
		"limits": map[string]any{
			"maxBodyBytes": hostileBodyBytes, "maxHeaderBytes": hostileHeadBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{
			map[string]any{"name": "account-a", "apiKeys": []string{"k"}},
			map[string]any{"name": "account-b", "apiKeys": []string{"other"}},
		},
	})
}

// checkAfterCrowd checks that the process serves an ordinary request while the connections of a
// crowd are open, and the largest one that the limits allow once they are closed, and that its
// memory and its descriptors have stayed within its limits.
func (d *deployment) checkAfterCrowd(r *runningDaemon, pid int, hostile *crowd) {
	d.eventually("an ordinary request is answered", func() bool { return r.postStatus("other", 1000, false) == http.StatusOK })
	descriptors := openDescriptors(d.C, pid) // the crowd's connections were accepted before
	hostile.close()
	for _, chunked := range []bool{false, true} {
		d.eventually("the largest request is answered", func() bool { return r.postStatus("k", hostileBodyBytes, chunked) == http.StatusOK })
	}
	peak := peakMemory(d.C, pid)
	d.Logf("%d MB and %d descriptors at most", peak>>20, descriptors)
	d.Check(descriptors <= hostileDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
	d.Check(raceDetector || peak <= hostileMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}

// TestHostileClients has a crowd of clients send what the limits do not allow, or what they allow
// and never end.
func TestHostileClients(t *testing.T) {
	for _, shape := range hostileShapes() {
		t.Run(shape.name, func(t *testing.T) {
			d, r, pid := startForCrowd(t)
			d.checkAfterCrowd(r, pid, shape.sendAll(d.C, r.settings.CallersAddress))
		})
	}
}

// TestHostileClientsBeforeConfiguration does the same while the daemon has no configuration.
func TestHostileClientsBeforeConfiguration(t *testing.T) {
	for _, shape := range hostileShapes() {
		t.Run(shape.name, func(t *testing.T) {
			d := newDeployment(t)
			r, pid := d.startWithoutMemory()
			d.eventually("it answers", func() bool { return r.lookStatus("other") == http.StatusServiceUnavailable })
			hostile := shape.sendAll(d.C, r.settings.CallersAddress)
			d.writeHostileConfig()
			d.checkAfterCrowd(r, pid, hostile)
		})
	}
}

// TestHostilePeers sends the same to the other ports of the process.
func TestHostilePeers(t *testing.T) {
	for _, port := range []struct {
		name, path string
		address    func(r *runningDaemon) string
	}{
		{"neighbours", "/handed-over?path=/acaciapath/rows-tx", func(r *runningDaemon) string { return r.settings.NeighboursAddress }},
		{"readiness", "/", func(r *runningDaemon) string { return r.settings.ReadyAddress }},
	} {
		for _, shape := range hostileShapes() {
			t.Run(port.name+"/"+shape.name, func(t *testing.T) {
				d, r, pid := startForCrowd(t)
				address := port.address(r)
				hostile := shape.atPath(port.path).sendAll(d.C, address)
				d.eventually("the port answers", func() bool { return answers("http://" + address + "/") })
				d.checkAfterCrowd(r, pid, hostile)
			})
		}
	}
}

// answers reports whether a GET request on a new connection is answered.
func answers(url string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the answer does not matter
	return true
}

// TestHostilePipelines has clients send requests one after another without reading answers.
func TestHostilePipelines(t *testing.T) {
	d, r, pid := startForCrowd(t)
	request := "GET /look/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: hostile\r\n\r\n"
	shape := hostileShape{connections: hostileConnections, repeat: request, bytes: 1 << 20}
	d.checkAfterCrowd(r, pid, shape.sendAll(d.C, r.settings.CallersAddress))
}

// TestHostileReaders has clients request answers without end that they do not read. Their connections
// must be closed.
func TestHostileReaders(t *testing.T) {
	d, r, pid := startForCrowd(t)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: stand.in\r\n\r\n"
	d.store.Write("servers", "e-1", map[string]any{
		"service": "shop", "address": startEndlessServer(d.C, head, strings.Repeat("x", 64<<10)), "zone": "z", "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	shape := hostileShape{connections: hostileConnections, prefix: "GET /look/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: hostile\r\n\r\n"}
	hostile := shape.sendAll(d.C, r.settings.CallersAddress)
	time.Sleep(hostileWait) // the answers fill what buffers there are
	d.store.Remove("servers", "e-1")
	d.eventually("the connections are closed", func() bool { return openDescriptors(d.C, pid) < hostileConnections })
	d.checkAfterCrowd(r, pid, hostile)
}
