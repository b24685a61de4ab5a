package report

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/accounting"
)

// ErrUnknownRequest reports that no line is about the request.
var ErrUnknownRequest = errors.New("no line tells of this request")

// Story holds all lines of one request, oldest first.
type Story struct {
	// Request id.
	Request string `json:"request"`
	// Records that instances wrote about it, without duplicates.
	Records []accounting.Record `json:"records"`
	// Cut reports whether a damaged line is about the request as well.
	Cut bool `json:"cut"`
}

// Explain reads the lines of one request from accounting files.
func Explain(id string, files []string) (*Story, error) {
	s := storySink{id: id, seen: make(map[accounting.Record]bool)}
	if _, err := readFiles(files, &s); err != nil {
		return nil, err
	}
	return s.story()
}

// storySink keeps the lines of one request.
type storySink struct {
	id   string
	seen map[accounting.Record]bool
	cut  bool
}

func (s *storySink) record(r *accounting.Record) {
	if r.Request == s.id {
		s.seen[*r] = true
	}
}

func (s *storySink) remnant(r *accounting.Record) {
	s.cut = s.cut || r.Request == s.id
}

func (s *storySink) story() (*Story, error) {
	if len(s.seen) == 0 && !s.cut {
		return nil, errors.Wrap(ErrUnknownRequest, s.id)
	}
	story := &Story{Request: s.id, Cut: s.cut}
	for r := range s.seen {
		story.Records = append(story.Records, r)
	}
	sort.Slice(story.Records, func(i, j int) bool { return earlier(&story.Records[i], &story.Records[j]) })
	return story, nil
}

// earlier orders lines by time, because instances number their lines independently.
// Lines of one instance with the same time are ordered by number.
func earlier(a, b *accounting.Record) bool {
	switch {
	case a.Ts != b.Ts:
		return a.Ts < b.Ts
	case a.Instance != b.Instance:
		return a.Instance < b.Instance
	case a.Incarnation != b.Incarnation:
		return a.Incarnation < b.Incarnation
	case a.Seq != b.Seq:
		return a.Seq < b.Seq
	case a.Kind != b.Kind:
		return a.Kind < b.Kind
	default:
		return a.Message < b.Message
	}
}

// WriteText writes the story as readable text.
func (s *Story) WriteText(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Request %s\n", printable(s.Request))
	ended := false
	for i := range s.Records {
		r := &s.Records[i]
		ended = ended || r.Kind == accounting.RecordKindEnd
		s.writeRecord(&b, r)
	}
	if !ended {
		b.WriteString("No end line: the request is still running, or its instance died. Its outcome is unknown.\n")
	}
	if s.Cut {
		b.WriteString("A line of this request was cut off.\n")
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (s *Story) writeRecord(b *strings.Builder, r *accounting.Record) {
	fmt.Fprintf(b, "%s  %+9.1f ms  %s/%s  %-8s ", wallClock(r.Ts), 1000*(r.Ts-s.Records[0].Ts),
		printable(r.Instance), printable(r.Incarnation), r.Kind)
	for _, part := range parts(r) {
		b.WriteString(" ")
		b.WriteString(part)
	}
	b.WriteString("\n")
}

// parts returns the fields of a record, the most important first.
func parts(r *accounting.Record) []string {
	var out []string
	add := func(format string, value any, present bool) {
		if present {
			out = append(out, printable(fmt.Sprintf(format, value)))
		}
	}
	add("%s;", r.Message, r.Message != "")
	add("customer %s", r.Customer, r.Customer != "")
	add("class %s", r.Class, r.Class != "")
	add("tier %d", r.Tier, r.Kind == accounting.RecordKindStart || r.Tier != 0)
	add("attempt %d", r.Attempt, r.Attempt != 0)
	add("group %s", r.Group, r.Group != "")
	add("server %s", r.Server, r.Server != "")
	add("engine %s", r.Engine, r.Engine != "")
	add("verdict %s", r.Verdict, r.Verdict != "")
	add("reason %s", r.Reason, r.Reason != "")
	add("status %d", r.Status, r.Status != 0)
	add("retry after %d ms", r.RetryAfterMS, r.RetryAfterMS != 0)
	add("prompt tokens %d", r.PromptTokens, r.PromptTokens != 0)
	add("tokens %d", r.Tokens, r.Tokens != 0)
	add("wasted tokens %d", r.WastedTokens, r.WastedTokens != 0)
	add("queue %.1f ms", r.QueueMS, r.QueueMS != 0)
	add("first token %.1f ms", r.FirstTokenMS, r.FirstTokenMS != 0)
	add("gap p95 %.1f ms", r.GapP95MS, r.GapP95MS != 0)
	add("total %.1f ms", r.TotalMS, r.TotalMS != 0)
	add("delivered %t", r.Delivered, r.Kind == accounting.RecordKindEnd)
	add("on time %t", r.OnTime, r.Kind == accounting.RecordKindEnd)
	add("revision %d", r.Revision, r.Revision != 0)
	add("known %.0f ms ago", r.AgeMS, r.AgeMS != 0)
	return out
}
