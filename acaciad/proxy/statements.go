package proxy

import (
	"time"

	"acaciapath.example/core/replica"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// HearAt applies what the backend server at an address says of itself in the answer to a call
// of the daemon's own.
func (h *Handler) HearAt(address string, s platform.Statement) {
	if s == (platform.Statement{}) {
		return
	}
	if server, listed := h.Directory.At(address); listed {
		h.hear(server, s)
	}
}

// hear applies what a backend server says of itself in an answer, and logs a change.
func (h *Handler) hear(server replica.Spec, s platform.Statement) {
	now := time.Now()
	heard := h.Directory.Hear(server.Instance(), s, now)
	entry := h.Logger.WithField("backend-server", server.Instance())
	if heard.Leaves {
		entry.Info("backend server says that it leaves, no longer sending it requests")
	}
	if heard.Pauses {
		entry.WithFields(logrus.Fields{"pause-ms": heard.Until.Sub(now).Milliseconds(), "asked-ms": s.Pause.Milliseconds()}).
			Info("backend server asks for a pause, sending it no requests until it ends")
	}
}
