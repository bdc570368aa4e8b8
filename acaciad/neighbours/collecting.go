package neighbours

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"

	"github.com/ansel1/merry/v2"
)

// collectedWrites is the name under which follow.Rank ranks collectors. It is not that of
// a table.
const collectedWrites = "collected-writes"

// Limits of writes that are sent to a collector.
const (
	// collectTimeout bounds the call of a collector. It covers collectDelay and a few
	// calls of the store.
	collectTimeout = 800 * time.Millisecond
	// directPeriod is how long writes are sent to the store directly after a collector
	// failed: the write that failed must not wait for further collectors.
	directPeriod = 10 * time.Second
	// maxStoreFailing is how long a collector may say that the store does not answer it,
	// until the collector counts as failed itself. The outages that it tells of are mostly
	// those of the store for all daemons.
	maxStoreFailing = 5 * time.Second
)

// errStoreSilent is returned if the store did not answer a collector, so that a write may
// have been committed.
var errStoreSilent = merry.Sentinel("neighbours: the store did not answer the collector")

// collectorChoice selects the collector of this daemon's writes.
type collectorChoice struct {
	selector    follow.Selector
	directUntil time.Time
	// storeFailingSince is the first of the latest answers by which collectors said that
	// the store does not answer them, or zero.
	storeFailingSince time.Time
}

// SetMembers replaces the daemons of the failure domain, among which a collector is
// chosen. vm is the name of this daemon's VM.
func (t *Transport) SetMembers(vm string, members []follow.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collector.selector.VM, t.collector.selector.Table = vm, collectedWrites
	t.collector.selector.SetMembers(members)
}

// chooseCollector returns the address of the collector for a write, or detour.Direct.
func (t *Transport) chooseCollector(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.collector.directUntil) {
		return detour.Direct
	}
	_, address := t.collector.selector.Choose(now)
	return address
}

// collect sends a write to a collector. handled is false if it must be sent to the store
// directly, because there is no collector or the collector has certainly not sent it.
func (t *Transport) collect(r *http.Request) (response *http.Response, handled bool, err error) {
	address := t.chooseCollector(time.Now())
	if address == detour.Direct {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), collectTimeout)
	out, err := cloneRequest(r.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, false, nil // the body cannot be sent twice
	}
	out.URL = &url.URL{Scheme: "http", Host: address, Path: collectedPath, RawQuery: url.Values{"path": {r.URL.Path}}.Encode()}
	out.Host = address
	response, err = t.Base.RoundTrip(out)
	if err != nil {
		cancel()
		t.recordCollectorFailure(address, response, err)
		return nil, !isDialError(err), err
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusPreconditionFailed:
		t.recordStoreAnswer()
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
		return response, true, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if t.recordStoreFailure(time.Now()) > maxStoreFailing {
			t.recordCollectorFailure(address, response, err)
		}
	default:
		t.recordCollectorFailure(address, response, err)
	}
	_ = response.Body.Close() // the direct call replaces it
	cancel()
	if response.StatusCode == http.StatusGatewayTimeout {
		return nil, true, errStoreSilent
	}
	return nil, false, nil
}

// recordStoreAnswer records that the store answers a collector.
func (t *Transport) recordStoreAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collector.storeFailingSince = time.Time{}
}

// recordStoreFailure records that the store does not answer a collector. It returns for how
// long that has been so.
func (t *Transport) recordStoreFailure(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.collector.storeFailingSince.IsZero() {
		t.collector.storeFailingSince = now
	}
	return now.Sub(t.collector.storeFailingSince)
}

// isDialError reports whether a call failed because there was no connection, so that it
// was certainly not received.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// recordCollectorFailure makes writes go to the store directly for a while.
func (t *Transport) recordCollectorFailure(address string, response *http.Response, err error) {
	now := time.Now()
	t.mu.Lock()
	t.collector.selector.Failed(address, now)
	t.collector.directUntil, t.collector.storeFailingSince = now.Add(directPeriod), time.Time{}
	t.mu.Unlock()
	entry := t.Logger.WithField("collector", address)
	if err != nil {
		entry = entry.WithError(err)
	} else {
		entry = entry.WithField("status", response.StatusCode)
	}
	entry.Info("collector of writes failed, sending writes to the store directly")
}
