package forwarding

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"acaciapath.example/core/forwarding"
)

// Limits of probes.
const (
	// probeTimeout bounds the connection of a probe. It allows for several round trips between
	// regions.
	probeTimeout = 250 * time.Millisecond
	// answerTimeout bounds the answer of a probe whose connection was established: sound backend
	// servers may be busy, or silent for a second or so.
	answerTimeout = 1500 * time.Millisecond
	// resetWait is how long a probe without a request waits whether its connection is
	// reset.
	resetWait = 100 * time.Millisecond
	// maxProbeAnswerBytes is the maximum size of the answer that is read, so that the
	// connection ends in order.
	maxProbeAnswerBytes = 16 << 10
)

// Run probes backend servers while the own path is in doubt, until ctx is done. It
// returns when all probes have ended.
func (m *Monitor) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
			if time.Since(due) > maxLateness {
				m.update(false, func(r *forwarding.Reach, now time.Time) { r.Pause(now) })
			}
		}
		var targets []forwarding.Target
		due, targets = m.step(time.Now())
		if timer.Stop(); !due.IsZero() {
			timer.Reset(time.Until(due))
		}
		for _, t := range targets {
			probes.Go(func() { m.probe(ctx, t) })
		}
	}
}

// step looks for silence. It returns when to look again, or the zero time, and the
// backend servers to probe.
func (m *Monitor) step(now time.Time) (due time.Time, targets []forwarding.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	silentAt := m.silentAt(now)
	silent := !silentAt.IsZero() && !now.Before(silentAt)
	inDoubt := !m.reach.Next(now).IsZero()
	if silent || inDoubt {
		m.updateLocked(true, now, func(r *forwarding.Reach, now time.Time) {
			if silent {
				r.Silent(now)
			}
			targets = r.Probes(now, m.random)
		})
	}
	due = m.reach.Next(now)
	if due.IsZero() {
		due = silentAt
		if silent { // shortly after another suspicion
			due = now.Add(silenceAfter)
		}
	}
	m.due = due
	return due, targets
}

// silentAt returns when the requests that wait now become a sign against the own path if
// nothing arrives, or the zero time if none waits. The caller holds the lock.
func (m *Monitor) silentAt(now time.Time) time.Time {
	if len(m.waiting) == 0 {
		return time.Time{}
	}
	since := now
	for _, began := range m.waiting {
		if began.Before(since) {
			since = began
		}
	}
	if heard := m.began.Add(time.Duration(m.lastHeard.Load())); heard.After(since) {
		since = heard
	}
	if at := since.Add(silenceAfter); len(m.waiting) > 1 || now.Before(at) {
		return at
	}
	return since.Add(loneSilenceAfter)
}

// probe probes a backend server and records the outcome.
func (m *Monitor) probe(ctx context.Context, t forwarding.Target) {
	deadline := time.Now().Add(probeTimeout)
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	connection, err := m.dial(dialCtx, "tcp", t.Address)
	if err != nil {
		if ctx.Err() == nil {
			m.recordProbe(t, err)
		}
		return
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	var request []byte
	if m.ProbeRequest != nil {
		request = m.ProbeRequest(t.Address)
	}
	deadline = time.Now().Add(answerTimeout)
	if len(request) == 0 {
		deadline = time.Now().Add(resetWait)
	}
	err = connection.SetDeadline(deadline)
	if err == nil && len(request) > 0 {
		_, err = connection.Write(request)
	}
	if err == nil {
		_, err = connection.Read(make([]byte, 1))
	}
	if ctx.Err() != nil {
		return
	}
	if contact, ok := contactOf(err); ok && contact == forwarding.TimedOut && len(request) == 0 {
		err = nil // it was not reset
	}
	m.recordProbe(t, err)
	if err == nil {
		_, _ = io.CopyN(io.Discard, connection, maxProbeAnswerBytes) // ends at the deadline
	}
}

// recordProbe records the outcome of a probe, which failed with err unless that is nil.
func (m *Monitor) recordProbe(t forwarding.Target, err error) {
	contact, ok := contactOf(err)
	if !ok {
		m.metrics.probes.WithLabelValues("error").Inc()
		return
	}
	m.metrics.probes.WithLabelValues(contact.String()).Inc()
	m.logger.WithError(err).WithField("backend-server", t.Name).WithField("result", contact.String()).Debug("backend server probed")
	m.observe(t.Address, contact)
}

// Dial opens a connection to a backend server, and records its outcome and the bytes
// that arrive on it.
func (m *Monitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := m.dial(ctx, network, address)
	if err != nil {
		if contact, ok := contactOf(err); ok && ctx.Err() == nil {
			m.observe(address, contact)
		}
		return nil, err
	}
	return &observedConnection{Conn: connection, monitor: m, address: address}, nil
}
