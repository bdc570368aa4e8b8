package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
}

// callers collects the outcomes of concurrent callers. Each caller keeps its own
// connections open.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
}

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
					key: []string{"key-a", "key-a", "key-b"}[random.IntN(3)], vm: cl.vms[random.IntN(len(cl.vms))],
				}
				o.sendRequest(client)
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
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
