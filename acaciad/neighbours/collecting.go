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
)

// collectorChoice selects the collector of this daemon's writes.
type collectorChoice struct {
	selector    follow.Selector
	directUntil time.Time
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
	switch {
	case err == nil && (response.StatusCode == http.StatusOK || response.StatusCode == http.StatusPreconditionFailed):
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
		return response, true, nil
	case err == nil:
		_ = response.Body.Close() // the direct call replaces it
	}
	cancel()
	t.recordCollectorFailure(address, response, err)
	return nil, err != nil && !isDialError(err), err
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
	t.collector.directUntil = now.Add(directPeriod)
	t.mu.Unlock()
	entry := t.Logger.WithField("collector", address)
	if err != nil {
		entry = entry.WithError(err)
	} else {
		entry = entry.WithField("status", response.StatusCode)
	}
	entry.Info("collector of writes failed, sending writes to the store directly")
}
