package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outcome is what a caller received for one request.
type outcome struct {
	id, path, key string
	vm            *vm
	// status is 0 if there was no answer.
	status    int
	signature string
	body      string
	// complete states that the answer was received completely.
	complete bool
	ended    time.Time
	// resumes is the id of the request that brought the first event of a stream that is taken
	// up again after lastEvent, or empty.
	resumes   string
	lastEvent int
}

// callers collects the outcomes of concurrent callers. Each caller keeps its own
// connections open.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
	streams  []stream
	group    sync.WaitGroup
}

// stream has the ids of the requests for a stream that broke off: the first one, and those by
// which the caller took it up again.
type stream []string

// paths lists the paths that callers request, with equal probability.
var paths = []string{"/look/", "/order/", "/quote/", "/reply/"}

// start starts the callers, which send requests until ctx is done.
func (c *callers) start(ctx context.Context, cl *cluster, seed uint64) {
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		c.group.Go(func() {
			client := &http.Transport{MaxIdleConnsPerHost: 4}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				o := outcome{
					id: fmt.Sprintf("%d-%d-%d", seed, i, n), path: paths[random.IntN(len(paths))],
					key: []string{"key-a", "key-a", "key-b"}[random.IntN(3)], vm: cl.pickVM(random),
				}
				o.sendRequest(client)
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				if o.path == "/reply/" && o.status == http.StatusOK && !o.complete && strings.Contains(o.body, "\n\n") {
					c.takeUp(client, cl, o, random)
				}
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
}

// maxTakeUps is the number of times that a caller takes a stream up.
const maxTakeUps = 4

// takeUp takes a stream up again that broke off, at any daemons.
func (c *callers) takeUp(client *http.Transport, cl *cluster, o outcome, random *rand.Rand) {
	ids, first := stream{o.id}, o.id
	body := o.body[:strings.LastIndex(o.body, "\n\n")+2]
	for range maxTakeUps {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		again := outcome{
			id: fmt.Sprintf("%s-%d", first, len(ids)), path: o.path, key: o.key, vm: cl.pickVM(random),
			resumes: first, lastEvent: strings.Count(body, "\n\n"),
		}
		again.sendRequest(client)
		ids = append(ids, again.id)
		if again.status == http.StatusOK {
			body += again.body[:strings.LastIndex("\n\n"+again.body, "\n\n")]
		}
		if again.complete && again.status == http.StatusOK {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, ids)
}

// sendRequest sends the request and records the answer.
func (o *outcome) sendRequest(client *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	method := http.MethodPost
	if o.path == "/look/" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.vm.callersAddress+o.path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = "shop.example"
	request.Header.Set("Authorization", "Bearer "+o.key)
	request.Header.Set("X-Attempt-Id", o.id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Tenant", "forged")
	if strings.HasPrefix(o.path, "/quote") || strings.HasPrefix(o.path, "/reply") {
		request.Header.Set("X-Token-Usage", "100,20")
		request.Header.Set("X-Prefix-Hash", "5c1e:80,91bd:20")
	}
	if o.resumes != "" {
		request.Header.Set("Resumes", o.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(o.lastEvent))
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		o.ended = time.Now()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.body, o.complete = response.StatusCode, string(body), err == nil
	o.signature, o.ended = response.Header.Get("X-Replica-Signature"), time.Now()
}
