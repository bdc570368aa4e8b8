package engine

import (
	"encoding/json"
	"math"
	"regexp"
	"strconv"
	"strings"

	"acaciapath.example/core/engine"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// roleAssistant is the role of messages that models wrote.
const roleAssistant = "assistant"

// Errors of prompts.
var (
	errNoMessages = merry.Sentinel("messages must not be empty")
	errContent    = merry.Sentinel("the content of a message must be text or a list of parts")
	errContinue   = merry.Sentinel("continue_final_message needs a last message of the assistant")
)

// prompt is what an engine knows of a request before it runs.
type prompt struct {
	// tokens is the number of prompt tokens.
	tokens int
	// prefixes are the prefixes of the conversation, shortest first.
	prefixes []prefix
	// seed is the seed of the answer.
	seed uint64
	// length is the number of tokens of the whole answer.
	length int
	// start is the number of tokens of the answer that the prompt has already.
	start int
}

// prefix is the first messages of a conversation.
type prefix struct {
	// hash is the engine.PrefixHash of the messages.
	hash uint64
	// tokens is the number of tokens of the messages.
	tokens int
}

// newPrompt returns the prompt of a request.
func newPrompt(req *engine.ChatRequest, o *Options) (*prompt, error) {
	texts, err := messageTexts(req.Messages)
	if err != nil {
		return nil, err
	}
	p := &prompt{}
	asked := len(texts)
	if req.ContinueFinalMessage {
		asked--
		if asked == 0 || req.Messages[asked].Role != roleAssistant {
			return nil, errContinue
		}
		p.start = countTokens(texts[asked])
	}
	for i, text := range texts {
		p.tokens += countTokens(text)
		hash := engine.PrefixHash(req.Model, req.Messages[:i+1])
		p.prefixes = append(p.prefixes, prefix{hash: hash, tokens: p.tokens})
	}
	p.seed = seedOf(req, texts[:asked], o.Seed)
	p.length = answerLength(texts[asked-1], p.seed, o)
	return p, nil
}

// messageTexts returns the text of each message.
func messageTexts(messages []engine.Message) ([]string, error) {
	if len(messages) == 0 {
		return nil, errNoMessages
	}
	texts := make([]string, len(messages))
	for i, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, err
		}
		texts[i] = text
	}
	return texts, nil
}

// contentPart is one part of a content that is a list.
type contentPart struct {
	Text string `json:"text"`
}

// contentText returns the text in the content of a message.
func contentText(content json.RawMessage) (string, error) {
	if len(content) == 0 {
		return "", nil
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", errContent
	}
	for _, part := range parts {
		text += part.Text + "\n"
	}
	return text, nil
}

func countTokens(text string) int { return len(strings.Fields(text)) }

// seedOf returns the seed of the answer to the texts of a conversation.
func seedOf(req *engine.ChatRequest, texts []string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(req.Model)
	for i, text := range texts {
		_, _ = d.WriteString("\x00" + req.Messages[i].Role + "\x00" + text)
	}
	return d.Sum64()
}

// lengthMark is how a prompt says the length of its answer.
var lengthMark = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// lengthSpread is the standard deviation of the logarithm of the lengths.
const lengthSpread = 0.8

// answerLength returns the number of tokens of an answer. Lengths that are not
// asked for are distributed log-normally.
func answerLength(text string, seed uint64, o *Options) int {
	if mark := lengthMark.FindStringSubmatch(text); mark != nil {
		n, _ := strconv.Atoi(mark[1])
		return n
	}
	mu := math.Log(float64(o.MeanAnswerTokens)) - lengthSpread*lengthSpread/2
	n := math.Exp(mu + lengthSpread*normal(seed))
	return min(max(int(n), 1), o.MaxAnswerTokens)
}

// normal returns a normally distributed function of seed (Box and Muller).
func normal(seed uint64) float64 {
	u := (float64(mix(seed)>>11) + 1) / (1 << 53)
	v := float64(mix(seed+1)>>11) / (1 << 53)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
}
