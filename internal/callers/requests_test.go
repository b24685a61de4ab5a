package callers

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// A caller loses its connection after two tokens and reconnects with the id and the last
// event id it received. It must get the remaining chunks, none of them twice.
func TestResumeFromAnOffset(t *testing.T) {
	rest := make(chan struct{})
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		for i, word := range []string{"a", "b"} {
			_ = log.Append(engineapi.TokenEvent{Offset: i, Text: word})
		}
		<-rest
		_ = log.Append(engineapi.TokenEvent{Offset: 2, Text: "c", Finish: "stop"})
		log.Close(nil)
	})
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter", HeaderRequestID, "local-1")
	buffer := make([]byte, 4096)
	for seen := ""; !strings.Contains(seen, `"content":"b"`); {
		n, err := response.Body.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		seen += string(buffer[:n])
	}
	_ = response.Body.Close()
	if id := <-backend.gone; id != "local-1" {
		t.Errorf("gone %q", id)
	}
	close(rest)
	resumed := send(t, "GET", address, "/v1/requests/local-1/answer", "", "Last-Event-ID", "1")
	events, err := readEvents(resumed.Body)
	if err != nil || len(events) != 2 || events[0].id != "2" || events[1].data != "[DONE]" {
		t.Errorf("%+v, %v", events, err)
	}
	byOffset := send(t, "GET", address, "/v1/requests/local-1/answer?offset=1", "")
	events, err = readEvents(byOffset.Body)
	if err != nil || len(events) != 3 || events[0].id != "1" {
		t.Errorf("%+v, %v", events, err)
	}
	whole := readAll(t, send(t, "GET", address, "/v1/requests/local-1/answer", ""))
	if !strings.Contains(whole, `"content":"abc"`) {
		t.Error(whole)
	}
}

// A request sent again under its id must not run again.
func TestRepeatedRequestGetsTheSameAnswer(t *testing.T) {
	runs := make(chan struct{}, 10)
	backend := newFakeBackend(func(request *Request, log *answers.Log) {
		runs <- struct{}{}
		serveTokens("a")(request, log)
	})
	address := startServer(t, Config{}, backend)
	for range 3 {
		response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter", HeaderRequestID, "local-1")
		if text := readAll(t, response); !strings.Contains(text, `"content":"a"`) {
			t.Error(text)
		}
	}
	if len(runs) != 1 {
		t.Errorf("ran %d times", len(runs))
	}
	other := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter", HeaderRequestID, "local-1")
	wantRefusal(t, other, http.StatusBadRequest, verdict.MayHaveRun, verdict.ReasonBadRequest)
}

// Ids are not secret. A customer must not get anything under another customer's id.
func TestAnswersAreForTheirCustomerOnly(t *testing.T) {
	address := startServer(t, Config{}, newFakeBackend(serveTokens("a")))
	readAll(t, send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "draft", HeaderRequestID, "local-1"))
	for _, path := range []string{"/v1/requests/local-1", "/v1/requests/local-1/answer"} {
		response := send(t, "GET", address, path, "", "Authorization", "Bearer "+otherCredential)
		wantRefusal(t, response, http.StatusNotFound, verdict.MayHaveRun, verdict.ReasonUnknownRequest)
	}
}

// A waiting request may be dispatched at any moment, so its state must never have the
// verdict "not run".
func TestStateOfARequest(t *testing.T) {
	step := make(chan struct{})
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		<-step
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		step <- struct{}{}
		<-step
		log.Close(verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "lost"))
		step <- struct{}{}
	})
	address := startServer(t, Config{}, backend)
	_, _ = io.WriteString(dial(t, address), rawRequest("letter", chatBodyWhole, HeaderRequestID, "local-1"))
	<-backend.arrived
	check := func(want string) {
		t.Helper()
		if text := readAll(t, send(t, "GET", address, "/v1/requests/local-1", "")); text != want {
			t.Errorf("%s, want %s", text, want)
		}
	}
	check(`{"request_id":"local-1","state":"waiting","verdict":"may_have_run"}`)
	step <- struct{}{}
	<-step
	check(`{"request_id":"local-1","state":"running","tokens":1,"verdict":"ran"}`)
	step <- struct{}{}
	<-step
	check(`{"request_id":"local-1","state":"failed","tokens":1,"verdict":"ran"}`)
}

func TestBadOffsets(t *testing.T) {
	address := startServer(t, Config{}, newFakeBackend(serveTokens("a")))
	readAll(t, send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "draft", HeaderRequestID, "local-1"))
	for _, query := range []string{"-1", "x", "99999999999999999999"} {
		response := send(t, "GET", address, "/v1/requests/local-1/answer?offset="+query, "")
		wantRefusal(t, response, http.StatusBadRequest, verdict.MayHaveRun, verdict.ReasonBadRequest)
	}
}
