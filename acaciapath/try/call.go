package try

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/config"
)

// Names of the HTTP headers of the calls.
const (
	headerAuthorization  = "Authorization"
	headerContentType    = "Content-Type"
	headerServiceClass   = "X-Service-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// contentJSON is the content type of all request bodies.
const contentJSON = "application/json"

// unknownKey is an API key that no client account has.
const unknownKey = "acacia_wrong"

// chatPath is the path of the chat completions API.
const chatPath = "/v1/chat/completions"

// Header is an HTTP header of a call.
type Header struct {
	Name, Value string
}

// Call is an example HTTP request to the deployment.
type Call struct {
	// Title describes the call.
	Title string
	// Status is the expected HTTP status of the response.
	Status int
	// Stream is true if the response is streamed.
	Stream bool
	// URL is the URL to which the body is sent by POST.
	URL string
	// Headers are the headers to set.
	Headers []Header
	// Body is the JSON body. It contains no single quotes, because CurlCommand quotes it
	// with them.
	Body string
}

// CurlCommand returns a curl command that makes the call.
func (c *Call) CurlCommand() string {
	var b strings.Builder
	b.WriteString("curl --silent --show-error")
	if c.Stream {
		b.WriteString(" --no-buffer")
	}
	for _, h := range c.Headers {
		b.WriteString(" --header '" + h.Name + ": " + h.Value + "'")
	}
	b.WriteString(" --data '" + c.Body + "' " + c.URL)
	return b.String()
}

// Request returns the call as an http.Request.
func (c *Call) Request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	for _, h := range c.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	return request, nil
}

// demoAccount is the client account for which the calls are made.
type demoAccount struct {
	name string
	// mostUrgent and leastUrgent are the names of two service classes that the client
	// account has bought.
	mostUrgent, leastUrgent string
	key                     string
}

// chooseAccount returns the client account whose service classes differ most in tier. It
// returns ErrNoSuitableAccount if no client account has classes of two tiers.
func chooseAccount(c *config.Config) (demoAccount, error) {
	var chosen demoAccount
	widestGap := 0
	for _, account := range c.Accounts {
		bought := boughtClasses(c, account)
		if len(bought) == 0 {
			continue
		}
		mostUrgent, leastUrgent := bought[0], bought[len(bought)-1]
		if gap := leastUrgent.Tier - mostUrgent.Tier; gap > widestGap {
			widestGap = gap
			chosen = demoAccount{name: account.Name, mostUrgent: mostUrgent.Name, leastUrgent: leastUrgent.Name}
		}
	}
	if widestGap == 0 {
		return demoAccount{}, ErrNoSuitableAccount
	}
	return chosen, nil
}

// boughtClasses returns the service classes that a client account has bought, in the
// order of the configuration: most urgent first.
func boughtClasses(c *config.Config, account config.ClientAccount) []config.ServiceClass {
	return slices.DeleteFunc(slices.Clone(c.Classes), func(class config.ServiceClass) bool {
		return !account.HasClass(class.Name)
	})
}

// chooseRoute returns the first keyed route that accepts POST and whose calls may not be
// repeated. It returns ErrNoSuitableRoute if there is none.
func chooseRoute(c *config.Config) (config.Route, error) {
	for _, r := range c.Routes {
		takesPost := r.Method == "" || r.Method == http.MethodPost
		if r.Access == config.AccessKeyed && !r.Repeatable && takesPost {
			return r, nil
		}
	}
	return config.Route{}, merry.Wrap(ErrNoSuitableRoute)
}

// calls returns the example calls of a client account, spread over the entry daemons at
// the given addresses.
func calls(c *config.Config, account demoAccount, addresses []string) ([]Call, error) {
	if len(c.Models) == 0 {
		return nil, merry.Wrap(ErrNoModel)
	}
	route, err := chooseRoute(c)
	if err != nil {
		return nil, err
	}
	model := c.Models[0].Name
	url := func(i int, path string) string { return "http://" + addresses[i%len(addresses)] + path }
	headers := func(key string, more ...Header) []Header {
		return append([]Header{
			{headerAuthorization, "Bearer " + key},
			{headerContentType, contentJSON},
		}, more...)
	}
	return []Call{
		{
			Title: "a streamed chat completion in service class " + account.mostUrgent, Status: http.StatusOK, Stream: true,
			URL: url(0, chatPath), Headers: headers(account.key),
			Body: chatBody(model, "Which one goes with a slate roof and green boots?", true),
		},
		{
			Title: "a chat completion in service class " + account.leastUrgent, Status: http.StatusOK,
			URL: url(1, chatPath), Headers: headers(account.key, Header{headerServiceClass, account.leastUrgent}),
			Body: chatBody(model, "Write a letter for the season.", false),
		},
		{
			Title: "a call to the plain service " + route.PlainService + ", which runs at most once", Status: http.StatusOK,
			URL: url(2, route.PathPrefix), Headers: headers(account.key, Header{headerIdempotencyKey, "order-1"}),
			Body: `{"order":"order-1"}`,
		},
		{
			Title: "a call with an invalid key", Status: http.StatusUnauthorized,
			URL: url(0, chatPath), Headers: headers(unknownKey),
			Body: chatBody(model, "Hello", false),
		},
	}, nil
}

// chatBody returns the body of a chat completion request.
func chatBody(model, message string, stream bool) string {
	streaming := ""
	if stream {
		streaming = `"stream":true,"stream_options":{"include_usage":true},`
	}
	return `{"model":"` + model + `",` + streaming + `"max_completion_tokens":80,` +
		`"messages":[{"role":"user","content":"` + message + `"}]}`
}
