package nodelist

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// agent is discovery's end of each watch, by a script: what the n-th call meets. Calls beyond it meet the last.
type agent struct {
	addr  string
	calls atomic.Int32
	asked chan string // the calls' queries
}

func listen(t *testing.T, address string, script ...func(t *testing.T, c net.Conn)) *agent {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	a := &agent{addr: ln.Addr().String(), asked: make(chan string, 999)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(a.calls.Add(1)) - 1
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				a.asked <- r.URL.RawQuery
				script[min(n, len(script)-1)](t, c)
			}()
		}
	}()
	return a
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"

// says writes parts in pieces of their own, and then stays silent until the other side goes.
func says(parts ...string) func(*testing.T, net.Conn) {
	return func(_ *testing.T, c net.Conn) {
		for _, p := range parts {
			fmt.Fprint(c, p)
			time.Sleep(5 * time.Millisecond)
		}
		c.Read(make([]byte, 1))
	}
}

// cut writes parts and ends.
func cut(parts ...string) func(*testing.T, net.Conn) {
	return func(_ *testing.T, c net.Conn) { fmt.Fprint(c, strings.Join(parts, "")) }
}

func whole(index int) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`+"\n", index)
}

func follow(t *testing.T, address string, index int64, moves chan string) chan int64 {
	ctx, end := context.WithCancel(t.Context())
	got, over := make(chan int64, 999), make(chan bool)
	go func() {
		Follow(ctx, address, index, moves, func(l *List) { got <- l.Index })
		close(over)
	}()
	t.Cleanup(func() {
		end()
		<-over
	})
	return got
}

// TestTheNextListIsInHandInTime adds up, on every path, from the moment in which a watch falls silent or discovery
// could be reached again, to the list in hand: what is told counts 6 s after, and drains are bound from then on.
func TestTheNextListIsInHandInTime(t *testing.T) {
	for name, script := range map[string][]func(*testing.T, net.Conn){
		"silent from the call on":     {says(), says(head, whole(9))},
		"silent behind the headers":   {says(head), says(head, whole(9))},
		"silent behind a list":        {says(head, whole(8)), says(head, whole(9))},
		"silent within a list":        {says(head, whole(8), `{"index":9,"snap`), says(head, whole(9))},
		"silent behind a sign":        {says(head, whole(8), "\n\n"), says(head, whole(9))},
		"silent twice":                {says(head, whole(8)), says(), says(head, whole(9))},
		"an error":                    {cut("HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n"), says(head, whole(9))},
		"errors for long":             {cut("HTTP/1.1 500 No\r\n\r\n"), cut("?"), cut(""), cut(""), cut(""), cut(""), says(head, whole(9))},
		"a body cut short":            {cut(head, `{"index":9,"snapshot":true,"endp`), says(head, whole(9))},
		"a chunk cut short":           {cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"ind"), says(head, whole(9))},
		"a list that drips in":        {drips, says(head, whole(9))},
		"a list that is none":         {says(head, "{\"index\":9}}\n"), says(head, whole(9))},
		"an answer that is none":      {says("what is this\r\n\r\n"), says(head, whole(9))},
		"no list, signs of life only": {cut(head, "\n\n\n"), says(head, whole(9))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			got := follow(t, listen(t, "127.0.0.1:0", script...).addr, 7, nil)
			for i := range got {
				if i == 8 {
					began = time.Now() // it falls silent now
				} else if i == 9 {
					break
				}
			}
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("in hand after %v", took)
			}
		})
	}
}

// drips sends a list byte by byte, and never whole: bytes come all the time, and nothing is told.
func drips(_ *testing.T, c net.Conn) {
	fmt.Fprint(c, head)
	for i := 0; ; i++ {
		if _, err := fmt.Fprint(c, `{"index":9,"endpoints":[`[min(i, 23):min(i, 23)+1]+" "); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRefusedThenBack: nobody listens for a while; as soon as somebody does, the list is there.
func TestRefusedThenBack(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	before := watches.Count()
	got := follow(t, address, 7, nil)
	for watches.Count() < before+12 { // the longest pause is reached
		time.Sleep(time.Millisecond)
	}
	listen(t, address, says(head, whole(9)))
	began := time.Now()
	<-got
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("in hand %v after it was back", took)
	}
}

// TestListsOverSeveralLines: a list may come indented, in pieces cut anywhere, and empty lines between lists keep the
// watch alive for as long as they come.
func TestListsOverSeveralLines(t *testing.T) {
	t.Parallel()
	a := listen(t, "127.0.0.1:0", func(_ *testing.T, c net.Conn) {
		fmt.Fprint(c, head)
		text := "{\n  \"index\": 8,\n\n  \"snapshot\": true,\n  \"endpoints\": [\n    " + entry + "\n  ]\n}\n"
		for _, b := range []byte(text) {
			c.Write([]byte{b})
		}
		for range 5 { // longer than a silent watch lasts
			time.Sleep(800 * time.Millisecond)
			fmt.Fprint(c, "\n")
		}
		fmt.Fprint(c, `{"index":9,"endpoints":[]}{"index":10,"endpoints":[]}`)
		c.Read(make([]byte, 1))
	})
	got := follow(t, a.addr, 7, nil)
	for _, want := range []int64{8, 9, 10} {
		if i := <-got; i != want {
			t.Errorf("version %d, want %d", i, want)
		}
	}
	if n := a.calls.Load(); n != 1 {
		t.Errorf("%d calls for a watch that lives", n)
	}
}

// TestADiscoveryThatStartedAnew counts its versions from one: what it says first, and whole, stands. An older list
// behind a newer one, or one that holds changes alone, is no news.
func TestADiscoveryThatStartedAnew(t *testing.T) {
	t.Parallel()
	a := listen(t, "127.0.0.1:0",
		cut(head, whole(50), whole(49), `{"index":51,"endpoints":[]}`),
		cut(head, `{"index":3,"endpoints":[]}`, `{"index":2,"endpoints":[]}`),
		cut(head, whole(4), whole(3), `{"index":5,"endpoints":[]}`),
		says(head, whole(6)))
	got := follow(t, a.addr, 41, nil)
	for _, want := range []int64{50, 51, 4, 5, 6} {
		if i := <-got; i != want {
			t.Errorf("version %d, want %d", i, want)
		}
	}
	for _, want := range []string{"41", "51", "51", "5"} {
		if q := <-a.asked; q != "follow=1&since="+want {
			t.Errorf("asked %s, want %s", q, want)
		}
	}
}

// TestAListWithoutEnd is given up before it takes the memory.
func TestAListWithoutEnd(t *testing.T) {
	t.Parallel()
	refused := make(chan bool, 1)
	a := listen(t, "127.0.0.1:0", func(_ *testing.T, c net.Conn) {
		fmt.Fprint(c, head, `{"index":9,"more":"`)
		for sent, chunk := 0, strings.Repeat("x", 1<<16); ; sent += len(chunk) {
			if _, err := fmt.Fprint(c, chunk); err != nil {
				refused <- sent < 3*mostList
				return
			}
		}
	}, says(head, whole(9)))
	got := follow(t, a.addr, 7, nil)
	if !<-refused {
		t.Error("far more was read than a list may have")
	}
	<-got
}

// TestAMoveWhileACallHangs: the watch that was left holds nothing up, however it hangs, and a list of its own that
// arrives as it is left comes before the new one's or not at all.
func TestAMoveWhileACallHangs(t *testing.T) {
	for name, old := range map[string]func(*testing.T, net.Conn){
		"silent from the call on": says(), "silent behind the headers": says(head), "silent within a list": says(head, `{"index":9,`),
		"refused": cut(), "an error": cut("HTTP/1.1 500 No\r\n\r\n"), "lists without pause": func(_ *testing.T, c net.Conn) {
			fmt.Fprint(c, head)
			for i := 100; ; i++ {
				if _, err := fmt.Fprint(c, whole(i)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := listen(t, "127.0.0.1:0", old), listen(t, "127.0.0.1:0", says(head, whole(3)))
			moves := make(chan string)
			ctx, end := context.WithCancel(t.Context())
			defer end()
			var last atomic.Int64
			got, over := make(chan bool, 1), make(chan bool)
			go func() {
				Follow(ctx, first.addr, 7, moves, func(l *List) {
					if last.Swap(l.Index) != 3 && l.Index == 3 {
						got <- true
					}
				})
				close(over)
			}()
			<-first.asked
			began := time.Now()
			moves <- second.addr
			<-got
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the new discovery's list came after %v", took)
			}
			end()
			<-over
			if last.Load() != 3 {
				t.Errorf("the list held at the end is %d, of a discovery that was left", last.Load())
			}
		})
	}
}
