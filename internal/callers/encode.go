package callers

import (
	"strconv"
	"unicode/utf8"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/engineapi"
)

const hexDigits = "0123456789abcdef"

// appendJSONString appends s as a JSON string. Invalid UTF-8 becomes U+FFFD.
func appendJSONString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	start := 0
	for i := 0; i < len(s); {
		b := s[i]
		if b >= utf8.RuneSelf {
			r, size := utf8.DecodeRuneInString(s[i:])
			if r == utf8.RuneError && size == 1 {
				dst = append(dst, s[start:i]...)
				dst = append(dst, "\ufffd"...)
				start = i + 1
			}
			i += size
			continue
		}
		if b < ' ' || b == '"' || b == '\\' {
			dst = append(dst, s[start:i]...)
			dst = appendEscape(dst, b)
			start = i + 1
		}
		i++
	}
	dst = append(dst, s[start:]...)
	return append(dst, '"')
}

func appendEscape(dst []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(dst, '\\', b)
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	default:
		return append(dst, '\\', 'u', '0', '0', hexDigits[b>>4], hexDigits[b&0xf])
	}
}

// chunkEncoder encodes the events of one answer. The part common to all events is
// encoded once, in head.
type chunkEncoder struct {
	head []byte
}

func newChunkEncoder(id string, about answers.About) chunkEncoder {
	head := append([]byte(nil), `data: {"id":`...)
	head = appendJSONString(head, id)
	head = append(head, `,"object":"chat.completion.chunk","created":`...)
	head = strconv.AppendInt(head, about.Created, 10)
	head = append(head, `,"model":`...)
	head = appendJSONString(head, about.Model)
	head = append(head, `,"choices":[{"index":0,"delta":{`...)
	return chunkEncoder{head: head}
}

// appendChunk appends one server-sent event. Its id is the token's offset, from which a
// caller that reconnects resumes.
func (e *chunkEncoder) appendChunk(dst []byte, event *engineapi.TokenEvent) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(event.Offset), 10)
	dst = append(dst, '\n')
	dst = append(dst, e.head...)
	if event.Offset == 0 {
		dst = append(dst, `"role":"assistant",`...)
	}
	dst = append(dst, `"content":`...)
	dst = appendJSONString(dst, event.Text)
	dst = append(dst, `},"finish_reason":`...)
	dst = appendFinish(dst, event.Finish)
	return append(dst, "}]}\n\n"...)
}

func appendFinish(dst []byte, finish string) []byte {
	if finish == "" {
		return append(dst, "null"...)
	}
	return appendJSONString(dst, finish)
}

// appendCompletion appends a whole answer as JSON. events must not be empty.
func appendCompletion(dst []byte, id string, about answers.About, events []engineapi.TokenEvent) []byte {
	dst = append(dst, `{"id":`...)
	dst = appendJSONString(dst, id)
	dst = append(dst, `,"object":"chat.completion","created":`...)
	dst = strconv.AppendInt(dst, about.Created, 10)
	dst = append(dst, `,"model":`...)
	dst = appendJSONString(dst, about.Model)
	dst = append(dst, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	dst = appendContent(dst, events)
	dst = append(dst, `},"finish_reason":`...)
	dst = appendFinish(dst, events[len(events)-1].Finish)
	dst = append(dst, `}],"usage":{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(about.PromptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendInt(dst, int64(len(events)), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendInt(dst, int64(about.PromptTokens+len(events)), 10)
	return append(dst, "}}"...)
}

// appendContent appends the text of the events as one JSON string. The texts are joined
// first: an engine may split a character between two tokens, and neither half is valid
// UTF-8.
func appendContent(dst []byte, events []engineapi.TokenEvent) []byte {
	size := 0
	for i := range events {
		size += len(events[i].Text)
	}
	text := make([]byte, 0, size)
	for i := range events {
		text = append(text, events[i].Text...)
	}
	return appendJSONString(dst, string(text))
}
