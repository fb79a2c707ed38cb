package edge_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// openCall sends a call on a connection of its own and returns the connection.
func (d *deployment) openCall(c call) *net.TCPConn {
	d.t.Helper()
	return d.openRequest(d.request(c))
}

func (d *deployment) openRequest(request *http.Request) *net.TCPConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", string(d.settings.Caller))
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { conn.Close() })
	assert.NilError(d.t, request.Write(conn))
	return conn.(*net.TCPConn)
}

// Guards against a log that does not show why a caller was taken for gone and whether its call was sent.
func TestLogExplainsCallerThatLeft(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	conn := d.openCall(lookCall("left"))
	awaitTrue(t, "call not sent", func() bool { return d.runs() == 1 })
	assert.NilError(t, conn.SetLinger(0))
	conn.Close()
	assertContains(t, d.explainRequest("left", "caller left"), "evidence=", "connection reset", "sent=true")
}
