package abuse

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// sampleInterval is the interval at which descriptors are counted.
	sampleInterval = 20 * time.Millisecond
	// closePoll is the interval at which a client that reads nothing looks whether its
	// connection was reset.
	closePoll = 100 * time.Millisecond
	kilobyte  = 1 << 10
	// bytesPerMB is what machines' memory is given in.
	bytesPerMB = 1_000_000
)

// Watch counts the descriptors of a process until it is stopped.
type Watch struct {
	pid  int
	stop chan struct{}
	done sync.WaitGroup
	most int
}

// NewWatch starts to watch a process.
func NewWatch(pid int) *Watch {
	w := &Watch{pid: pid, stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

func (w *Watch) run() {
	for {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
			w.most = max(w.most, len(open))
		}
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// Usage is what a process takes of its machine.
type Usage struct {
	// Descriptors are the most that were open at once.
	Descriptors int
	// Memory is the most that was resident, in bytes.
	Memory int64
	// Unread is what clients sent and the process has not read, in bytes.
	Unread int64
}

// String returns the usage for people.
func (u Usage) String() string {
	return fmt.Sprintf("%d descriptors, %.1f MB resident, %.1f MB unread", u.Descriptors, float64(u.Memory)/bytesPerMB, float64(u.Unread)/bytesPerMB)
}

// Limits are those of a machine.
type Limits struct {
	Descriptors int
	MemoryMB    int64
}

// Exceeded reports whether a process takes more than its machine has.
func (l Limits) Exceeded(u Usage) bool {
	return u.Descriptors > l.Descriptors || u.Memory+u.Unread > l.MemoryMB*bytesPerMB
}

// Stop ends the watch and returns the usage, without what is unread. The process has to be alive.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	w.done.Wait()
	memory, err := peakMemory(w.pid)
	return Usage{Descriptors: w.most, Memory: memory}, err
}

func peakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) > 1 && string(fields[0]) == "VmHWM:" {
			n, err := strconv.ParseInt(string(fields[1]), 10, 64)
			return n * kilobyte, err
		}
	}
	return 0, errors.New("the process has ended")
}

// waitForClose returns when the other side has closed a connection of which nothing is read, or
// when the crowd leaves.
func waitForClose(conn net.Conn, left <-chan struct{}) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	for err == nil && !isClosed(raw) {
		select {
		case <-left:
			return
		case <-time.After(closePoll):
		}
	}
}

// isClosed reports whether the socket is in a state after its end by the other side.
func isClosed(raw syscall.RawConn) bool {
	const established = 1
	state := uint8(0)
	err := raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = uint8(info)
		}
	})
	return err != nil || state != established
}

// Unread returns how many bytes the system holds that clients sent to an address and its process has not
// read.
func Unread(address string) (int64, error) {
	host, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, err
	}
	local := fmt.Sprintf(":%04X", host.Port)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for line := range bytes.Lines(table) {
		// The second field is the local address, the fifth the queues as SENT:RECEIVED; of a
		// listener it counts connections. The fourth is the state.
		fields := bytes.Fields(line)
		const fewest, listening = 5, "0A"
		if len(fields) < fewest || !bytes.HasSuffix(fields[1], []byte(local)) || string(fields[3]) == listening {
			continue
		}
		_, received, _ := bytes.Cut(fields[4], []byte(":"))
		n, err := strconv.ParseInt(string(received), 16, 64)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}
