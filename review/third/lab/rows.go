package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"

	"acaciapath.example/standin/loopback"
)

// RowBytes is the store's limit on the data of a row (`rowBytes`).
const RowBytes = 65536

// maxTransactionBytes bounds what is read of a transaction.
const maxTransactionBytes = 4 << 20

// StoreWithRowLimit starts an address of the store that keeps the limit on the data of rows: it
// refuses a transaction with a larger one and passes all other calls on.
func (l *Lab) StoreWithRowLimit() *httptest.Server {
	target := &url.URL{Scheme: "http", Host: l.Store.Address()}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0) // daemons end calls when they end
	return loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !strings.HasSuffix(r.URL.Path, "/rows-tx") {
			proxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxTransactionBytes))
		if err != nil {
			return
		}
		var transaction struct {
			Write []struct {
				Key  string `json:"key"`
				Data []byte `json:"data"`
			} `json:"write"`
		}
		if err := json.Unmarshal(body, &transaction); err == nil {
			for _, row := range transaction.Write {
				if len(row.Data) > RowBytes {
					l.Note("store refuses %s: %d bytes, at most %d", row.Key, len(row.Data), RowBytes)
					w.WriteHeader(http.StatusRequestEntityTooLarge)
					return
				}
			}
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, r)
	}))
}
