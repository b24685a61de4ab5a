package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// errNotWhole is an answer that ended without [DONE].
var errNotWhole = errors.New("the answer ended without [DONE]")

// chunk holds the members of a chunk of a streamed completion that are read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamAnswer reads a streamed completion.
func streamAnswer(body io.Reader) answer {
	var text strings.Builder
	isError := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Bytes()
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case string(line) == "event: error":
			isError = true
		case isData && isError:
			return parseRefusal(data)
		case isData && string(data) == "[DONE]":
			return answer{kind: answerWhole, text: text.String()}
		case isData:
			if err := appendChunk(&text, data); err != nil {
				return answer{kind: answerLost, err: err}
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return answer{kind: answerLost, err: err}
	}
	return answer{kind: answerLost, err: errNotWhole}
}

func appendChunk(text *strings.Builder, data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return nil
}
