package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
)

// standardStream stands for standard input or output in place of a file name.
const standardStream = "-"

func (s *session) submit(ctx context.Context, files []string) error {
	for _, file := range files {
		text, err := s.readTicket(file)
		if err != nil {
			return err
		}
		number, err := callFirst(ctx, s, func(ctx context.Context, client *admin.Client) (spoke.TicketNumber, error) {
			return client.Submit(ctx, text)
		})
		if err != nil {
			return eris.Wrapf(err, "ticket %s", file)
		}
		if s.settings.JSON {
			s.print("{\"accepted\":%d}\n", number)
		} else {
			s.print("ticket %d accepted\n", number)
		}
	}
	return nil
}

func (s *session) readTicket(file string) ([]byte, error) {
	if file == standardStream {
		text, err := io.ReadAll(s.input)
		return text, eris.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(file)
	return text, eris.Wrap(err, "read ticket")
}

func (s *session) show(ctx context.Context, number spoke.TicketNumber) error {
	text, err := callFirst(ctx, s, func(ctx context.Context, client *admin.Client) ([]byte, error) {
		if number == 0 {
			return client.Manifest(ctx)
		}
		return client.Ticket(ctx, number)
	})
	if err != nil {
		return err
	}
	if s.settings.JSON {
		s.print("%s\n", text)
		return nil
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return eris.Wrap(err, "answer is not valid JSON")
	}
	s.print("%s\n", indented.String())
	return nil
}

func (s *session) diff(ctx context.Context, numbers diffSettings) error {
	texts := make([][]byte, 2)
	for i, number := range []uint64{numbers.Old, numbers.New} {
		text, err := callFirst(ctx, s, func(ctx context.Context, client *admin.Client) ([]byte, error) {
			return client.Ticket(ctx, spoke.TicketNumber(number))
		})
		if err != nil {
			return eris.Wrapf(err, "ticket %d", number)
		}
		texts[i] = text
	}
	changes, err := compareDocuments(texts[0], texts[1])
	if err != nil {
		return err
	}
	return s.writeChanges(changes)
}
