package reader

import (
	"encoding/json"
	"time"

	"acaciapath.example/core/follow"
)

// message is a document of the stream.
type message struct {
	// Version is the version of the store up to which the news are complete.
	Version uint64 `json:"version"`
	// Snapshot states that Rows are all rows of the table.
	Snapshot bool `json:"snapshot,omitempty"`
	// Rows are the changed rows.
	Rows []row `json:"rows,omitempty"`
	// Restored states that the store has answered again only since a moment ago.
	Restored bool `json:"restored,omitempty"`
	// Failing states that the store does not answer the reader at present.
	Failing bool `json:"failing,omitempty"`
	// AgeMS is the time since the store's answer, in milliseconds.
	AgeMS int64 `json:"age-ms,omitempty"`
	// StoreMS is the time of the store's answer by its own clock, in milliseconds.
	StoreMS float64 `json:"store-ms,omitempty"`
}

// row is a row of a table or, if Deleted is set, the deletion of one.
type row struct {
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// encode returns the line for news of the given age.
func encode(news follow.News, age time.Duration) ([]byte, error) {
	m := message{Version: news.Version, Snapshot: news.Snapshot, Restored: news.Restored, Failing: news.Failing, AgeMS: age.Milliseconds(), StoreMS: float64(news.StoreTime) / float64(time.Millisecond)}
	for _, e := range news.Entries {
		m.Rows = append(m.Rows, row(e))
	}
	line, err := json.Marshal(m)
	return append(line, '\n'), err
}

// news returns the news in a message.
func (m *message) news() follow.News {
	news := follow.News{Version: m.Version, Snapshot: m.Snapshot, Restored: m.Restored, Failing: m.Failing, StoreTime: time.Duration(m.StoreMS * float64(time.Millisecond))}
	for _, r := range m.Rows {
		news.Entries = append(news.Entries, follow.Entry(r))
	}
	return news
}
