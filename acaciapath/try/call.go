package try

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/config"
)

// Headers of the calls.
const (
	headerAuthorization  = "Authorization"
	headerContentType    = "Content-Type"
	headerServiceClass   = "X-Service-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// contentJSON is the type of all bodies.
const contentJSON = "application/json"

// wrongKey is a key that no client account has.
const wrongKey = "acacia_wrong"

// chatPath is the path of the chat API.
const chatPath = "/v1/chat/completions"

// Header is one header of a call.
type Header struct {
	Name, Value string
}

// Call is a call that shows what the deployment does.
type Call struct {
	// Title says what the call shows.
	Title string
	// Status is the HTTP status that it is answered with.
	Status int
	// Stream says whether the answer is streamed.
	Stream bool
	// URL is where it goes; it is a POST.
	URL string
	// Headers are those that matter.
	Headers []Header
	// Body is JSON without single quotes.
	Body string
}

// CurlCommand returns the call as a command line of curl.
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

// Request returns the call as a request of net/http.
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

// customer is the client account that the calls are made for.
type customer struct {
	account string
	// urgent and patient are two service classes that it has bought.
	urgent, patient string
	key             string
}

// chooseCustomer returns the client account whose service classes are furthest
// apart in urgency. It returns ErrNoAccount if none has two.
func chooseCustomer(c *config.Config) (customer, error) {
	var chosen customer
	widest := 0
	for _, account := range c.Accounts {
		bought := boughtClasses(c, account)
		if len(bought) == 0 {
			continue
		}
		urgent, patient := bought[0], bought[len(bought)-1]
		if spread := patient.Tier - urgent.Tier; spread > widest {
			widest = spread
			chosen = customer{account: account.Name, urgent: urgent.Name, patient: patient.Name}
		}
	}
	if widest == 0 {
		return customer{}, ErrNoSuitableAccount
	}
	return chosen, nil
}

// boughtClasses returns the service classes of a client account, most urgent
// first.
func boughtClasses(c *config.Config, account config.ClientAccount) []config.ServiceClass {
	return slices.DeleteFunc(slices.Clone(c.Classes), func(class config.ServiceClass) bool {
		return !account.HasClass(class.Name)
	})
}

// chooseRoute returns the first keyed route whose calls may not be repeated.
func chooseRoute(c *config.Config) (config.Route, error) {
	for _, r := range c.Routes {
		takesPost := r.Method == "" || r.Method == http.MethodPost
		if r.Access == config.AccessKeyed && !r.Repeatable && takesPost {
			return r, nil
		}
	}
	return config.Route{}, merry.Wrap(ErrNoSuitableRoute)
}

// calls returns the calls of a customer, of which each goes to the next of the
// entry daemons.
func calls(c *config.Config, by customer, addresses []string) ([]Call, error) {
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
			Title: "a streamed answer in class " + by.urgent, Status: http.StatusOK, Stream: true,
			URL: url(0, chatPath), Headers: headers(by.key),
			Body: chatBody(model, "Which one goes with a slate roof and green boots?", true),
		},
		{
			Title: "a patient answer in class " + by.patient, Status: http.StatusOK,
			URL: url(1, chatPath), Headers: headers(by.key, Header{headerServiceClass, by.patient}),
			Body: chatBody(model, "Write a letter for the season.", false),
		},
		{
			Title: "a call of the plain service " + route.PlainService + ", run at most once", Status: http.StatusOK,
			URL: url(2, route.PathPrefix), Headers: headers(by.key, Header{headerIdempotencyKey, "order-1"}),
			Body: `{"order":"order-1"}`,
		},
		{
			Title: "a call with a wrong key", Status: http.StatusUnauthorized,
			URL: url(0, chatPath), Headers: headers(wrongKey),
			Body: chatBody(model, "Hello", false),
		},
	}, nil
}

// chatBody returns the body of a chat request.
func chatBody(model, message string, stream bool) string {
	streaming := ""
	if stream {
		streaming = `"stream":true,"stream_options":{"include_usage":true},`
	}
	return `{"model":"` + model + `",` + streaming + `"max_completion_tokens":80,` +
		`"messages":[{"role":"user","content":"` + message + `"}]}`
}
