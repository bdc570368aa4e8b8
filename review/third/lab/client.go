package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/platform/platformtest"
)

// Answer is what a client received for one request.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	// Signed states that it has a replica's signature.
	Signed bool
	Body   string
	Header http.Header
	// Complete states that the answer was received completely.
	Complete bool
	Err      error
	Took     time.Duration
}

var attempts atomic.Int64

// NewAttemptID returns an id that no other client attempt has.
func NewAttemptID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// Request is a request of a client.
type Request struct {
	Method, Path, ID, Body string
	Deadline               time.Duration
	Header                 map[string]string
	// Key replaces the API key Key, and From is the client's address; both may be empty.
	Key, From string
}

// Dial opens a channel from an address, which may be empty, within the second that clients allow.
func Dial(from, to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return dialer.Dial("tcp4", to)
}

// Send sends a request on a new channel to an address and waits for the answer until the deadline.
func Send(address string, r Request) Answer {
	began := time.Now()
	a := send(address, r)
	a.Took = time.Since(began)
	return a
}

func send(address string, r Request) (a Answer) {
	c, err := Dial(r.From, address)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.Deadline)) // an error shows in the read
	if _, err := io.WriteString(c, r.Head(strconv.Itoa(len(r.Body)))+r.Body); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	a = Answer{Status: response.StatusCode, Header: response.Header, Signed: response.Header.Get("X-Replica-Signature") != ""}
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	return a
}

// Head returns the head of the request, with a length unless that is empty.
func (r Request) Head(length string) string {
	key := r.Key
	if key == "" {
		key = Key
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), key)
	for name, value := range r.Header {
		head += name + ": " + value + "\r\n"
	}
	if length != "" {
		head += "Content-Length: " + length + "\r\n"
	}
	return head + "\r\n"
}

// Register writes the entry of a replica as it does itself.
func (l *Lab) Register(s *platformtest.Server, service, zone, state string) {
	l.Store.Write("servers", s.ID, s.Entry(service, zone, state))
}
