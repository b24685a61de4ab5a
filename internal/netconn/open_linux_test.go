package netconn

import (
	"io"
	"net"
	"testing"
)

// Guards against taking a connection for open that its server has ended behind bytes unread.
func TestAnEndBehindUnreadBytesIsSeen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, "unread"); err != nil {
		t.Fatal(err)
	}
	if open, known := IsOpen(near); !open || !known {
		t.Errorf("open %v, known %v before the end", open, known)
	}
	_ = far.Close()
	for open, known := true, true; open; open, known = IsOpen(near) {
		if !known {
			t.Fatal("not known after the end")
		}
	}
	_ = near.Close()
	if open, known := IsOpen(near); open || known {
		t.Errorf("open %v, known %v once closed here", open, known)
	}
}
