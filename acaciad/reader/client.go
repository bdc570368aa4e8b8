package reader

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"acaciapath.example/core/follow"

	"github.com/ansel1/merry/v2"
)

// Limits of a follower.
const (
	// dialTimeout bounds the connection to a reader, which is in the same failure domain.
	dialTimeout = 300 * time.Millisecond
	// maxMessageBytes is the maximum size of one message. It allows for all rows of a
	// table of some thousand backend servers.
	maxMessageBytes = 4 << 20
	// initialBufferBytes is the initial size of the read buffer.
	initialBufferBytes = 4 << 10
)

// Errors of a Client.
var (
	// ErrRefused is returned if the daemon does not read the table or is behind.
	ErrRefused = merry.Sentinel("reader: the daemon does not read the table, or is behind")
	// ErrSilent is returned if the reader sent nothing for too long, or news that were
	// too old.
	ErrSilent = merry.Sentinel("reader: the reader was silent for too long")
	// ErrEnded is returned if the reader ended the stream.
	ErrEnded = merry.Sentinel("reader: the reader ended the stream")
	// ErrInvalid is returned for a message that cannot be decoded or goes back to an
	// older version.
	ErrInvalid = merry.Sentinel("reader: invalid message")
)

// Client follows readers. It is safe for concurrent use.
type Client struct{ transport *http.Transport }

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}
}

// Follow calls apply with each news of a table after a version that the reader at
// address sends. It returns an error when the reader can no longer be followed: at the
// latest after it has been silent for the given time. News whose version does not
// increase confirm that nothing has changed.
func (c *Client) Follow(ctx context.Context, address, table string, after uint64, silence time.Duration, apply func(news follow.News)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(silence, func() { cancel(ErrSilent) })
	defer timer.Stop()
	query := url.Values{"table": {table}, "after": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return firstError(context.Cause(ctx), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrRefused, merry.AppendMessagef("status %d", response.StatusCode))
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, initialBufferBytes), maxMessageBytes)
	for lines.Scan() && ctx.Err() == nil {
		var m message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return merry.Wrap(ErrInvalid, merry.WithCause(err))
		}
		if m.Version < after {
			return merry.Wrap(ErrInvalid, merry.WithCause(fmt.Errorf("version %d after %d", m.Version, after)))
		}
		left := silence - time.Duration(m.AgeMS)*time.Millisecond
		if left <= 0 {
			return ErrSilent
		}
		timer.Reset(left)
		after = m.Version
		apply(m.news())
	}
	return firstError(context.Cause(ctx), lines.Err(), ErrEnded)
}

// firstError returns the first error that is not nil, and io.ErrUnexpectedEOF if there
// is none.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}
