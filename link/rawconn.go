package link

import "net"

// Conn returns the connection that carried the response, as it was dialled.
func (r *Response) Conn() net.Conn { return r.conn.Conn }
