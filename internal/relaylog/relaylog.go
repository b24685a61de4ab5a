// Package relaylog reads the log lines of relaying instances and explains one request:
// what happened to it, and the state of its instance when it arrived.
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

// ErrUnknownRequest means that no log line mentions the request.
var ErrUnknownRequest = errors.New("no log line mentions this request")

const (
	// maxLine is the maximum length of a line in bytes. A longer line ends the reading of
	// its file with an error.
	maxLine = 1 << 20
	// peerWindow is how long before a request an event of a peer still counts as
	// relevant.
	peerWindow = 5 * time.Second
	// objectStart begins the object of a log line.
	objectStart = `{"`
)

// Line is one line of a log. Fields that the line lacks are empty.
type Line struct {
	At       time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	// ID of the request, and the Server, Service and Peer that the line concerns.
	ID      string `json:"id"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Peer    string `json:"peer"`
	// Resumes is the try whose stream the request resumes.
	Resumes string `json:"resumes"`
	// Tunnel is the connection through a peer that the line concerns.
	Tunnel string `json:"tunnel"`
	// Ends are the servers whose ends made the request be refused.
	Ends   []string `json:"ends"`
	TookMS float64  `json:"took_ms"`

	text string
}

// Explanation holds the log lines that concern one request.
type Explanation struct {
	// Request holds the lines of the request, oldest first.
	Request []Line
	// Resumed holds the lines, of all instances, of later tries that resumed the
	// request's stream, oldest first.
	Resumed []Line
	// Crashes holds the lines, of all instances, on the ends of servers because of which the
	// request was refused, oldest first.
	Crashes []Line
	// Tunnels holds the lines, of all instances, on the connections through peers over
	// which the request was sent, oldest first.
	Tunnels []Line
	// State holds the newest line before the request arrived on each subject that decided
	// it: configuration, the servers tried, store, peers, drain. Oldest first.
	State []Line
	// Damaged is the number of lines, in all files, of which a part is missing. What they
	// told is not in the explanation.
	Damaged int
}

// Explain collects the explanation of request id from log files. It returns
// ErrUnknownRequest if no line mentions the request.
func Explain(id string, files []string) (*Explanation, error) {
	var lines []Line
	damaged := 0
	for _, name := range files {
		fileLines, fileDamaged, err := readFile(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		lines = append(lines, fileLines...)
		damaged += fileDamaged
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	out, err := explainLines(id, lines)
	if err != nil {
		return nil, err
	}
	out.Damaged = damaged
	return out, nil
}

func readFile(name string) (lines []Line, damaged int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}

// read parses the JSON object of each line. It skips lines without a valid object, and
// counts those that begin one as damaged.
func read(in io.Reader) (lines []Line, damaged int, err error) {
	err = EachObject(in, func(object []byte) {
		var line Line
		switch err := json.Unmarshal(object, &line); {
		case err != nil && bytes.HasPrefix(object, []byte(objectStart)):
			damaged++
		case err == nil && line.Message != "":
			line.text = string(object)
			lines = append(lines, line)
		}
	})
	return lines, damaged, err
}

// EachObject calls use for each line of a log with the text from its first brace on, which
// is valid until use returns. It ignores text before that, such as a collector's timestamp,
// and skips lines without a brace. A line longer than 1 MiB ends the reading with an error.
func EachObject(in io.Reader, use func(object []byte)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if start := bytes.IndexByte(text, '{'); start >= 0 {
			use(text[start:])
		}
	}
	return scanner.Err()
}

func explainLines(id string, lines []Line) (*Explanation, error) {
	out := &Explanation{}
	instances, concerned, tunnels, ends := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	var arrived time.Time
	for _, line := range lines {
		if line.Resumes == id {
			out.Resumed = append(out.Resumed, line)
		}
		if line.ID != id {
			continue
		}
		out.Request = append(out.Request, line)
		instances[line.Instance] = true
		concerned[line.Server], concerned[line.Service] = true, true
		tunnels[line.Tunnel] = true
		for _, server := range line.Ends {
			ends[server] = true
		}
		began := line.At.Add(-time.Duration(line.TookMS * float64(time.Millisecond)))
		if arrived.IsZero() || began.Before(arrived) {
			arrived = began
		}
	}
	if len(out.Request) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, id)
	}
	delete(tunnels, "")
	newest := map[string]Line{}
	for _, line := range lines {
		if tunnels[line.Tunnel] && line.ID == "" {
			out.Tunnels = append(out.Tunnels, line)
		}
		if ends[line.Server] && (line.Message == "server_crashed" || line.Message == "crash_confirmed") {
			out.Crashes = append(out.Crashes, line)
		}
		if !instances[line.Instance] || line.At.After(arrived) {
			continue
		}
		if subject, ok := subjectOf(line, concerned, arrived); ok {
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

// subjectOf returns the subject of a line that could have affected a request that arrived
// at the given time and tried these servers of these services. Of several lines with one
// subject only the newest counts.
func subjectOf(line Line, concerned map[string]bool, arrived time.Time) (string, bool) {
	switch line.Message {
	case "config_in_force", "draining", "started", "isolation_changed":
		return line.Message, true
	case "store_lost", "store_regained", "store_history_lost":
		return "store", true
	case "server_changed", "server_reachability":
		return line.Message + line.Server, concerned[line.Server]
	case "service_path_lost", "service_path_back":
		return "path" + line.Service, concerned[line.Service]
	case "service_unreachable", "service_reachable":
		return "reach" + line.Service, concerned[line.Service]
	case "peer_linked", "peer_lost", "peer_leaving":
		return "peer" + line.Peer, arrived.Sub(line.At) <= peerWindow
	default:
		return "", false
	}
}

// WriteText writes the explanation as text.
func (s *Explanation) WriteText(out io.Writer) error {
	for _, part := range []struct {
		title  string
		lines  []Line
		always bool
	}{
		{"state of the instance when the request arrived:", s.State, true},
		{"what happened to the request:", s.Request, true},
		{"ends of servers because of which it was refused:", s.Crashes, false},
		{"later tries that resumed its stream:", s.Resumed, false},
		{"connections through peers:", s.Tunnels, false},
	} {
		if len(part.lines) == 0 && !part.always {
			continue
		}
		if _, err := fmt.Fprintln(out, part.title); err != nil {
			return err
		}
		if err := writeLines(out, part.lines); err != nil {
			return err
		}
	}
	if s.Damaged > 0 {
		_, err := fmt.Fprintf(out, "%d lines of these files are cut off or damaged; what they told is missing here.\n", s.Damaged)
		return err
	}
	return nil
}

func writeLines(out io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, " ", line.text); err != nil {
			return err
		}
	}
	return nil
}
