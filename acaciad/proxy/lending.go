package proxy

import (
	"net/http"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/core/replica"

	"github.com/sirupsen/logrus"
)

// HearForwarded applies what a backend server says in the answer to a request that the daemon
// forwards for a neighbour: to the server, it is the sender.
func (h *Handler) HearForwarded(request forwarding.Request, server replica.Spec, response *http.Response, how forwarding.Transmission) {
	info := h.Wire.ParseResponse(response, h.Wire.ParseRequest(request.Header).AttemptID)
	if info.MatchesRequest && info.HasRateLimit {
		now := time.Now()
		h.Limits.Record(server.Instance(), info.RateLimit, now)
		if h.Directory.LearnLimit(server.Instance(), info.RateLimit, now, now) {
			h.Logger.WithFields(logrus.Fields{"backend-server": server.Instance(), "per-second": info.RateLimit}).
				Info("backend server names a limit of requests to a neighbour's request, sending it this daemon's part")
		}
	}
	if info.MatchesRequest || info.Anonymous && !how.Reused {
		h.hear(server, info.Statement)
	}
}

// RecordForwardedLoss records that a server broke off the answer to a request that the daemon
// forwards for a neighbour, after about the given number of events. The neighbour, which is cut
// off, cannot tell whether the server crashed.
func (h *Handler) RecordForwardedLoss(request forwarding.Request, server replica.Spec, events int) {
	if events >= beginningEvents {
		return
	}
	metadata := h.Wire.ParseRequest(request.Header)
	metadata.Work.Parts = h.Wire.ParseParts(request.Header)
	whole := quarantine.RequestID(h.Wire.ForwardedAccount(request.Header), request.Target.RequestURI(), request.Body.Segments()...)
	parts := []quarantine.Part{{ID: whole, Whole: true}}
	if view := h.Directory.View(); view != nil {
		if route := view.Index.Route(request.Host, request.Target.Path); route != nil && route.Generates {
			for i, p := range metadata.Work.SharedParts() {
				parts = append(parts, quarantine.Part{ID: p.ID, Depth: i})
			}
		}
	}
	h.recordCrash(metadata.AttemptID, parts, server)
}
