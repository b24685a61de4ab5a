// Package relaylog reads the log lines of relaying instances and tells what
// happened to one request, and what the instance believed then.
package relaylog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrUnknownRequest means that no line tells of the request.
var ErrUnknownRequest = errors.New("no log line tells of this request")

const (
	// maxLine bounds a line in bytes; a longer one is skipped.
	maxLine = 1 << 20
	// peerWindow is how long before a request what happened to a peer is told.
	peerWindow = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	At       time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	// ID of a request, Server and Peer that the line is about, where it is.
	ID     string  `json:"id"`
	Server string  `json:"server"`
	Peer   string  `json:"peer"`
	TookMS float64 `json:"took_ms"`

	text string
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	// Request holds the lines of the request, oldest first.
	Request []Line
	// State are the newest lines, before the request arrived, on what decided
	// it: configuration, the servers tried, store, peers, drain.
	State []Line
}

// Explain reads the story of a request from files of log lines.
func Explain(id string, files []string) (*Explanation, error) {
	var lines []Line
	for _, name := range files {
		fileLines, err := readFile(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return explainLines(id, lines)
}

func readFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}

// read takes the JSON object of each line; what stands before it, such as the
// collector's own time, and lines without one are passed over.
func read(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	var out []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
			continue
		}
		line.text = string(text[start:])
		out = append(out, line)
	}
	return out, scanner.Err()
}

func explainLines(id string, lines []Line) (*Explanation, error) {
	out := &Explanation{}
	instances, servers := map[string]bool{}, map[string]bool{}
	var arrived time.Time
	for _, line := range lines {
		if line.ID != id {
			continue
		}
		out.Request = append(out.Request, line)
		instances[line.Instance] = true
		servers[line.Server] = true
		began := line.At.Add(-time.Duration(line.TookMS * float64(time.Millisecond)))
		if arrived.IsZero() || began.Before(arrived) {
			arrived = began
		}
	}
	if len(out.Request) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, id)
	}
	newest := map[string]Line{}
	for _, line := range lines {
		if !instances[line.Instance] || line.At.After(arrived) {
			continue
		}
		if subject, ok := subjectOf(line, servers, arrived); ok {
			newest[line.Instance+" "+subject] = line
		}
	}
	for _, line := range newest {
		out.State = append(out.State, line)
	}
	slices.SortFunc(out.State, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.text, b.text))
	})
	return out, nil
}

// subjectOf names what a line is about, if that could have decided a request:
// of lines with the same subject the newest counts.
func subjectOf(line Line, servers map[string]bool, arrived time.Time) (string, bool) {
	switch line.Message {
	case "config_in_force", "draining", "started", "isolation_changed":
		return line.Message, true
	case "store_lost", "store_regained", "store_history_lost":
		return "store", true
	case "server_changed", "server_reachability":
		return line.Message + line.Server, servers[line.Server]
	case "peer_linked", "peer_lost", "peer_leaving":
		return "peer" + line.Peer, arrived.Sub(line.At) <= peerWindow
	default:
		return "", false
	}
}

// WriteText writes the story for a person.
func (s *Explanation) WriteText(out io.Writer) error {
	if _, err := fmt.Fprintln(out, "what the instance believed:"); err != nil {
		return err
	}
	if err := writeLines(out, s.State); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, "what happened to the request:"); err != nil {
		return err
	}
	return writeLines(out, s.Request)
}

func writeLines(out io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, " ", line.text); err != nil {
			return err
		}
	}
	return nil
}
