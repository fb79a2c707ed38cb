package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
)

const (
	// headBytes is the size of a head of legal size, max-header-bytes of the routing table.
	headBytes = 16384
	// longHeadBytes is the size of a head over that limit.
	longHeadBytes = 48 << 10
	// endlessBytes is how much is sent of what has no end; a process that reads it all for each caller of a crowd would
	// still leave memory to the machine.
	endlessBytes = 256 << 10
	// longBody and shortBody are sizes of bodies in bytes. The long one is max-body-bytes of the routing table.
	longBody  = 4 << 20
	shortBody = 60000
	// missingBytes is the part of a body that is not sent.
	missingBytes = 7
	// pieceBytes is the size of a chunk of a long body.
	pieceBytes = 32 << 10
	// longBodyEvery is the distance of callers with a long body among those with bodies.
	longBodyEvery = 8
)

// Kind is a way not to respect limits.
type Kind struct {
	Name string
	// HasWholeCall is set if callers send a whole call before they go beyond the limits.
	HasWholeCall bool
	// send sends the request of the caller with a number. It returns the error of its connection, which the process may close.
	send func(to net.Conn, number int) error
}

// Heads returns the kinds whose heads are not whole or larger than allowed, or made of unusual lines.
func Heads() []Kind {
	return []Kind{
		{Name: "short-lines", send: func(to net.Conn, number int) error {
			return write(to, fill(begin(number), headBytes, distinctLine)+"\r\n")
		}},
		{Name: "short-lines-open", send: func(to net.Conn, number int) error { return write(to, fill(begin(number), headBytes, distinctLine)) }},
		{Name: "odd-lines", send: func(to net.Conn, number int) error { return write(to, fill(begin(number), headBytes, oddLine)+"\r\n") }},
		{Name: "equal-lines", send: func(to net.Conn, number int) error {
			return write(to, fill(begin(number), headBytes, func(int) string { return "a:\n" })+"\r\n")
		}},
		{Name: "long-head", send: func(to net.Conn, number int) error {
			return write(to, fill(begin(number), longHeadBytes, distinctLine))
		}},
		{Name: "endless-line", send: func(to net.Conn, number int) error {
			return write(to, begin(number)+"Endless: "+strings.Repeat("x", endlessBytes))
		}},
		{Name: "empty-lines", send: func(to net.Conn, _ int) error { return write(to, strings.Repeat("\r\n", endlessBytes/2)) }},
		{Name: "empty-lines-behind-call", HasWholeCall: true, send: func(to net.Conn, number int) error {
			return write(to, begin(number)+"\r\n"+strings.Repeat("x", bodyOf(number))+strings.Repeat("\r\n", endlessBytes/2))
		}},
	}
}

// Bodies returns the kinds whose bodies are of legal size and stop short of their end.
func Bodies() []Kind {
	return []Kind{
		{Name: "bodies-with-length", send: func(to net.Conn, number int) error {
			return write(to, begin(number)+"\r\n"+strings.Repeat("x", bodyOf(number)-missingBytes))
		}},
		{Name: "bodies-in-chunks", send: func(to net.Conn, number int) error { return sendChunks(to, number, pieceBytes) }},
		{Name: "bodies-byte-by-byte", send: func(to net.Conn, number int) error { return sendChunks(to, 1, 1) }},
		{Name: "many-parts", send: func(to net.Conn, number int) error {
			head, part := begin(number)+"Magnoliaspoke-Prefix-Hash: ", "a:0,"
			return write(to, head+strings.Repeat(part, (headBytes-len(head))/len(part)-2)+"a:0\r\n\r\n")
		}},
		{Name: "bodies-withheld", send: func(to net.Conn, number int) error {
			return write(to, strings.Replace(begin(number), fmt.Sprint(bodyOf(number)), fmt.Sprint(longBody), 1)+"\r\n")
		}},
	}
}

// Largest returns the kinds that send one whole request each, the largest inside the limits of the routing table.
func Largest() []Kind {
	body := strings.Repeat("x", longBody)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
	var kinds []Kind
	for name, line := range map[string]func(int) string{"short-lines": distinctLine, "odd-lines": harmlessOddLine} {
		kinds = append(kinds, Kind{Name: name + " and a body with its length", send: func(to net.Conn, _ int) error {
			return write(to, fill(begin(0), headBytes, line)+"\r\n"+body)
		}}, Kind{Name: name + " and a body in chunks", send: func(to net.Conn, _ int) error {
			return write(to, fill(firstLines(0)+"Transfer-Encoding: chunked\r\n", headBytes, line)+"\r\n"+strings.Repeat(chunk, longBody/pieceBytes)+"0\r\n\r\n")
		}})
	}
	return kinds
}

// harmlessOddLine returns odd lines that ask for nothing.
func harmlessOddLine(number int) string {
	if number%4 == 3 {
		return distinctLine(number)
	}
	return oddLine(number)
}

// begin returns the first lines of a call with a body.
func begin(number int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n", firstLines(number), bodyOf(number))
}

func firstLines(number int) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nMagnoliaspoke-Request-Id: crowd-%d\r\n", route, hostName, key, number)
}

func bodyOf(number int) int {
	if number%longBodyEvery == 0 {
		return longBody
	}
	return shortBody
}

// fill adds lines to a head up to its size without the empty line behind it.
func fill(head string, size int, line func(number int) string) string {
	var text strings.Builder
	text.WriteString(head)
	for number := 0; ; number++ {
		next := line(number)
		if text.Len()+len(next)+len("\r\n") > size {
			return text.String()
		}
		text.WriteString(next)
	}
}

// distinctLine returns a line of five bytes, whose name is its number in letters that Go's canonical form keeps apart.
func distinctLine(number int) string {
	const symbols = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{symbols[number%len(symbols)], symbols[number/len(symbols)%len(symbols)], symbols[number/len(symbols)/len(symbols)%len(symbols)]}
	return string(name) + ":\n"
}

// oddLine returns lines that are folded, blank, equal to others or distinct, in turn.
func oddLine(number int) string {
	switch number % 4 {
	case 0:
		return fmt.Sprintf("!%x:\n\t \n", number)
	case 1:
		return "Accept:\t\r\n ,\r\n\t,\r\n"
	case 2:
		return fmt.Sprintf("|~%d: ~~\n", number)
	default:
		return "Connection: a,b,c\r\n"
	}
}

// sendChunks sends a body in chunks of a size without its last bytes.
func sendChunks(to net.Conn, number, size int) error {
	if err := write(to, firstLines(number)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	count := (bodyOf(number) - missingBytes) / size
	perWrite := max(1, pieceBytes/len(chunk))
	for ; count > 0; count -= perWrite {
		if _, err := to.Write(bytes.Repeat(chunk, min(perWrite, count))); err != nil {
			return err
		}
	}
	return nil
}

func write(to net.Conn, text string) error {
	_, err := io.WriteString(to, text)
	return err
}
