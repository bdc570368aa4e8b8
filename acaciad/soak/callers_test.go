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

// outcome is what a caller got for one request.
type outcome struct {
	id, path, key string
	vm            *vm
	// status is 0 if there was no answer.
	status    int
	signature string
	body      string
	// whole says that the answer was complete.
	whole bool
	ended time.Time
}

// callers send requests until they are stopped, each over connections of its own
// that it keeps.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
}

// paths are what callers ask for, in equal parts.
var paths = []string{"/look/", "/order/", "/quote/", "/reply/"}

func (l *callers) start(ctx context.Context, w *world, seed uint64) {
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		l.group.Go(func() {
			client := &http.Transport{MaxIdleConnsPerHost: 4}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				o := outcome{
					id: fmt.Sprintf("%d-%d-%d", seed, i, n), path: paths[random.IntN(len(paths))],
					key: []string{"key-a", "key-a", "key-b"}[random.IntN(3)], vm: w.vms[random.IntN(len(w.vms))],
				}
				o.ask(client)
				l.mu.Lock()
				l.outcomes = append(l.outcomes, o)
				l.mu.Unlock()
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
}

// ask sends the request and notes the answer.
func (o *outcome) ask(client *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	method := http.MethodPost
	if o.path == "/look/" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.vm.callers+o.path, nil)
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
	o.status, o.body, o.whole = response.StatusCode, string(body), err == nil
	o.signature, o.ended = response.Header.Get("X-Replica-Signature"), time.Now()
}
