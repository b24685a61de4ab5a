package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
	"basilrudder/internal/verdict"
)

const (
	// bytesPerToken estimates prompt tokens from the size of the messages: if it is too
	// large, prompts are underestimated.
	bytesPerToken = 4
	// maxPromptTokens is the largest prompt_tokens that a caller may give. Longer
	// prompts are refused.
	maxPromptTokens = 1 << 24
	// prefixBase is the number base of a generated prefix. Changing it changes the
	// prefixes, and with them the keys of engine caches.
	prefixBase = 16
)

// chatBody holds the members of a chat completion request that are read here. The other
// members are passed to the engine unchanged.
type chatBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	PromptTokens        *int              `json:"prompt_tokens"`
	Prefix              string            `json:"prefix"`
}

// chatRequest is a parsed and completed chat completion request.
type chatRequest struct {
	body         []byte // sent upstream; a copy
	stream       bool
	promptTokens int
	maxTokens    int
	prefix       uint64
}

// parseChat parses and checks the body of a chat completion request of the class.
func parseChat(raw []byte, class *catalog.Class) (chatRequest, *verdict.Error) {
	var body chatBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return chatRequest{}, badRequest("the body is not a chat completion request: " + err.Error())
	}
	if len(body.Messages) == 0 {
		return chatRequest{}, badRequest("messages must hold at least one message")
	}
	if body.Model != "" && body.Model != class.Target {
		return chatRequest{}, badRequest(fmt.Sprintf("model is %q, but the class %q is served by %q",
			body.Model, class.Name, class.Target))
	}
	prefix := cachePrefix(&body)
	// Engines use the same hash of the prefix as the key in their cache events.
	request := chatRequest{stream: body.Stream, prefix: xxhash.Sum64String(prefix)}
	var err *verdict.Error
	if request.promptTokens, err = promptTokens(&body); err != nil {
		return chatRequest{}, err
	}
	if request.maxTokens, err = maxTokens(&body, class); err != nil {
		return chatRequest{}, err
	}
	request.body = completeBody(raw, &body, prefix, request.maxTokens, class)
	return request, nil
}

func badRequest(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, message)
}

func promptTokens(body *chatBody) (int, *verdict.Error) {
	if stated := body.PromptTokens; stated != nil {
		if *stated < 0 || *stated > maxPromptTokens {
			return 0, badRequest("prompt_tokens is out of range")
		}
		return *stated, nil
	}
	size := 0
	for _, message := range body.Messages {
		size += len(message)
	}
	return size / bytesPerToken, nil
}

// maxTokens returns the maximum number of tokens of the answer. A request for more than
// the class allows is refused: a shorter answer would look complete.
func maxTokens(body *chatBody, class *catalog.Class) (int, *verdict.Error) {
	requested := body.MaxCompletionTokens
	if requested == nil {
		requested = body.MaxTokens
	}
	if requested == nil {
		return class.MaxOutputTokens, nil
	}
	if *requested < 1 {
		return 0, badRequest("max_tokens must be at least 1")
	}
	if class.MaxOutputTokens > 0 && *requested > class.MaxOutputTokens {
		return 0, badRequest(fmt.Sprintf("max_tokens is %d, but the class %q allows %d",
			*requested, class.Name, class.MaxOutputTokens))
	}
	return *requested, nil
}

// cachePrefix returns the caller's name for the leading part of the prompt. If there is
// none, it returns a hash of the first message, which holds the instructions that many
// requests share.
func cachePrefix(body *chatBody) string {
	if body.Prefix != "" {
		return body.Prefix
	}
	return strconv.FormatUint(xxhash.Sum64(body.Messages[0]), prefixBase)
}

// completeBody returns a copy of the body with the members added that the engine needs
// and the caller left out. They are appended at the end: JSON parsers use the last of
// two equal names, and the caller may have sent an empty one. The leading comma is valid
// because the object has at least the member messages.
func completeBody(raw []byte, body *chatBody, prefix string, maxTokens int, class *catalog.Class) []byte {
	const addedCapacity = 96
	end := bytes.LastIndexByte(raw, '}')
	out := make([]byte, 0, len(raw)+len(class.Target)+addedCapacity)
	out = append(out, raw[:end]...)
	if body.Model == "" {
		out = append(out, `,"model":`...)
		out = appendJSONString(out, class.Target)
	}
	if body.Prefix == "" {
		out = append(out, `,"prefix":"`...)
		out = append(out, prefix...)
		out = append(out, '"')
	}
	if body.MaxTokens == nil && maxTokens > 0 {
		out = append(out, `,"max_tokens":`...)
		out = strconv.AppendInt(out, int64(maxTokens), 10)
	}
	return append(out, '}')
}
