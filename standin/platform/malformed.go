package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// malformedStatements is what a malformed head states beside its fault. Nothing of it may be believed.
const malformedStatements = "Server-Leaving: 1\r\nServer-Limit: 0.001\r\n"

// MalformedAnswers are the forms of TargetFaults.Malformed, by name: what a target writes for a head, whose last line has its
// end, and a body.
var MalformedAnswers = map[string]func(head, body string) string{
	"status of 000": func(head, body string) string {
		return "HTTP/1.1 000 Trouble" + head[len("HTTP/1.1 200 OK"):] + lengthField(len(body)) + "\r\n" + body
	},
	"length is no number": func(head, body string) string {
		return head + "Content-Length: x\r\nVary: a\r\n" + lengthField(len(body)-3) + "\r\n" + body
	},
	"length with a control byte": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length\x02: %d\r\nConnection: close\r\n\r\n%s", len(body), body+body)
	},
	"lengths differ": func(head, body string) string {
		return head + lengthField(len(body)) + lengthField(len(body)-3) + "\r\n" + body
	},
	"length beside chunks": func(head, body string) string {
		return head + lengthField(len(body)) + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body[3:])
	},
	"coding like chunked": func(head, body string) string {
		return head + "Transfer-Encoding: xchunked\r\n\r\n" + chunked(body[3:])
	},
	"unknown coding": func(head, body string) string {
		return head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked(body[3:])
	},
	"line without a name": func(head, body string) string {
		return head + ": trouble\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"folded line": func(head, body string) string {
		return head + "X-Trouble: a\r\n b\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"name with a blank": func(head, body string) string {
		return head + "X Trouble: a\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"name with a blank at its end": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(body), body[3:])
	},
	"name with a control byte": func(head, body string) string {
		return head + "X\x01Trouble: a\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"name with a delimiter": func(head, body string) string {
		return head + "X(Trouble): a\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"value with a NUL": func(head, body string) string {
		return head + "X-Trouble: a\x00b\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"value with a bare CR": func(head, body string) string {
		return head + "X-Trouble: a\rSet-Cookie: b\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"informational head": func(head, body string) string {
		return "HTTP/1.1 103 Early Hints\r\nX Trouble: a\r\n\r\n" + head + lengthField(len(body)) + "\r\n" + body
	},
	"refusal with a blank in a name": func(head, body string) string {
		return "HTTP/1.1 503 Service Unavailable" + head[len("HTTP/1.1 200 OK"):] + "Not-Executed: 1\r\nX Trouble: a\r\n" +
			lengthField(0) + "\r\n"
	},
	"line feed before a name": func(head, body string) string {
		return head + lengthField(len(body)) + "\nX-Trouble: a\r\n\r\n" + body
	},
	"line feed before a name and the length": func(head, body string) string {
		return head + "\nX-Trouble: a\r\n" + lengthField(len(body)) + "\r\n" + body
	},
	"line feed in a value": func(head, body string) string {
		return head + fmt.Sprintf("X-Trouble: a\nContent-Length: %d\r\n\r\n%s", len(body)-3, body)
	},
	"line feed in the reason": func(head, body string) string {
		return "HTTP/1.1 200 O\nX-K: a" + head[len("HTTP/1.1 200 OK"):] + lengthField(len(body)) + "\r\n" + body
	},
	"line feed in a trailer": func(head, body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\nX-A: a\r\n\r\n", len(body), body)
	},
	"line feeds only": func(head, body string) string {
		return strings.ReplaceAll(head+lengthField(len(body))+"\r\n", "\r\n", "\n") + body
	},
	"length without its first digit": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length:  %d\r\n\r\n%s", len(body)%10, body)
	},
	"204 with a length": func(head, body string) string {
		return noContent(head) + lengthField(len(body)) + "\r\n" + body
	},
	"204 with a coding": func(head, body string) string {
		return noContent(head) + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body)
	},
	"two last chunks": func(head, body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n0\r\n\r\n", len(body), body)
	},
	"trailer with a blank in a name": func(head, body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX A: a\r\nX-B: b\r\n\r\n", len(body), body)
	},
}

// UnusualAnswers are the forms of TargetFaults.Unusual, by name: complete answers that few libraries write.
var UnusualAnswers = map[string]func(head, body string) string{
	"blanks around the length": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length: \t%d \r\n\r\n%s", len(body), body)
	},
	"list of equal lengths": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length: %d, %[1]d\r\n\r\n%s", len(body), body)
	},
	"chunk extensions and a trailer": func(head, body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: Chunked\r\n\r\n%X ;a=b\r\n%s\r\n0\r\nX-T: a\r\n\r\n", len(body), body)
	},
	"empty line first, no reason": func(head, body string) string {
		return "\r\nHTTP/1.1 200" + head[len("HTTP/1.1 200 OK"):] + lengthField(len(body)) + "\r\n" + body
	},
	"several types and servers": func(head, body string) string {
		return head + "Content-Type: text/plain\r\nServer: a\r\nContent-Type: text/html\r\nServer: b\r\n" + lengthField(len(body)) +
			"\r\n" + body
	},
}

func noContent(head string) string { return "HTTP/1.1 204 No Content" + head[len("HTTP/1.1 200 OK"):] }

func lengthField(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// formHold is how long a target waits for the end of a connection that it keeps open after an answer of a given form.
const formHold = 10 * time.Second

// writeForm writes an answer past the HTTP library. With keep, it leaves the end of the connection to the node.
func (t *Target) writeForm(w http.ResponseWriter, answer string, keep bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, answer); err != nil || !keep {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(formHold))
	_, _ = io.Copy(io.Discard, conn)
}
