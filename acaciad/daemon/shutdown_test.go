package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShutdownUnderLoad stops a daemon while callers open connections and send requests in
// pieces: at once, with a head or a body that is interrupted, and on connections that were
// opened shortly before the daemon stops accepting and are used only after that. Each
// request must get its complete answer.
func TestShutdownUnderLoad(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	const body = "0123456789"
	head := "GET /look/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\n"
	withBody := head + "Content-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n"
	kinds := []struct {
		name         string
		first, later string
		pause        time.Duration
	}{
		{name: "at once", first: head + "\r\n"},
		{name: "half a head", first: head[:40], later: head[40:] + "\r\n", pause: 400 * time.Millisecond},
		{name: "body under way", first: withBody + body[:3], later: body[3:], pause: 400 * time.Millisecond},
		{name: "connected only", first: "", later: head + "\r\n", pause: 900 * time.Millisecond},
	}
	r.stop()
	var callers sync.WaitGroup
	for i := range 160 {
		kind := kinds[i%len(kinds)]
		callers.Go(func() {
			// Connections are accepted for 2.5 s. The last ones are used after that.
			time.Sleep(time.Duration(i) * 14 * time.Millisecond)
			id := fmt.Sprint("id-", i)
			status, err := sendInPieces(r.settings.CallersAddress, fill(kind.first, id), fill(kind.later, id), kind.pause)
			d.Check(err, qt.IsNil, qt.Commentf("%s %s", kind.name, id))
			d.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", kind.name, id))
		})
	}
	callers.Wait()
	select {
	case err := <-r.exited:
		d.Assert(err, qt.IsNil)
	case <-time.After(waitLimit):
		d.Fatal("the daemon does not exit")
	}
}

// fill replaces the placeholder of the request id, if there is one.
func fill(text, id string) string { return strings.ReplaceAll(text, "%s", id) }

// sendInPieces sends a request in two pieces on a connection of its own, and returns the
// status of the answer once it is complete.
func sendInPieces(address, first, later string, pause time.Duration) (int, error) {
	connection, err := net.DialTimeout("tcp", address, waitLimit)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(connection, first); err != nil {
		return 0, err
	}
	if later != "" {
		time.Sleep(pause)
		if _, err := io.WriteString(connection, later); err != nil {
			return 0, err
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
