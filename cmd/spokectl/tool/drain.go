package tool

import (
	"context"

	"github.com/rotisserie/eris"
)

// drain accepts exactly one host, because a list of hosts may come from the environment and
// draining all of them would stop the service.
func (s *session) drain(ctx context.Context) error {
	if len(s.clients) != 1 {
		return eris.Wrapf(errUsage, "drain takes exactly one --host, not %d", len(s.clients))
	}
	if err := s.clients[0].Drain(ctx); err != nil {
		return err
	}
	if s.settings.JSON {
		s.print("{\"draining\":true}\n")
		return nil
	}
	s.print("host at %s is draining\n", s.clients[0].Address())
	return nil
}
