package peer

import (
	"bufio"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/standin/faultnet"
)

// silence is how long a part is waited for that does not come, and patience any other.
const (
	silence  = 20 * time.Millisecond
	patience = 10 * time.Second
)

// readCut opens a link to a peer that sends a part of answer, to its upgrade, and ends the
// connection by end. It returns the error of reading one message, and whether the link opened.
func readCut(t *testing.T, answer func(key string) string, cut int, wait time.Duration, end func(net.Conn)) (opened bool, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		far, err := listener.Accept()
		if err != nil {
			return
		}
		defer far.Close()
		req, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		_, _ = io.WriteString(far, answer(req.Header.Get("Sec-Websocket-Key"))[:cut])
		end(far)
	}()
	timing := testTiming
	timing.HandshakeTimeout, timing.PeerTimeout = wait, wait
	links := &Links{cfg: Config{Timing: timing, Dial: netconn.Dial}}
	conn, err := links.connect(t.Context(), listener.Addr().String())
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return true, err
	}
	_, err = (&link{conn: conn, links: links}).readMessage()
	return true, err
}

// upgradeAnswer returns the head of an answer that opens a link.
func upgradeAnswer(key string) string {
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
}

// Guards against a link that opens, or a message that counts as whole, by a part of it.
func TestPartsOfAnUpgradeOrAMessageAreErrors(t *testing.T) {
	data, err := Encode(&wire.Envelope{Withdraws: []wire.Withdraw{{Seq: sampleSeq, Group: sampleGroup}}})
	if err != nil {
		t.Fatal(err)
	}
	half := len(data) / 2
	const continued, lastFrame, binary = 0x00, 0x80, 0x02
	frame := func(kind byte, part []byte) string { return string([]byte{kind, byte(len(part))}) + string(part) }
	message := frame(binary|continued, data[:half]) + frame(lastFrame, data[half:])
	head := len(upgradeAnswer(strings.Repeat("x", 24)))
	answer := func(key string) string { return upgradeAnswer(key) + message }
	for name, end := range faultnet.Ends {
		for cut := range head + len(message) + 1 {
			wait := patience
			if name == "silent" && cut < head+len(message) {
				wait = silence
			}
			opened, err := readCut(t, answer, cut, wait, end)
			if opened && cut < head || err == nil && cut < head+len(message) || err != nil && cut == head+len(message) {
				t.Errorf("%s after %d of %d and %d bytes: opened %v, %v", name, cut, head, len(message), opened, err)
			}
		}
	}
}
