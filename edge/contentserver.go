package edge

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	contentPath = "/content"
	contentID   = "id"
	contentBase = "base"
	// contentBaseHeader names the base of the difference in an answer; it is absent if the answer is whole.
	contentBaseHeader = "Content-Base"
	// contentPadding keeps an answer alive until the content, which contentStart precedes, has reached this host.
	contentPadding byte = ' '
	contentStart   byte = '='
	// contentPatience is the time in which a host learns of a content that another one has heard of.
	contentPatience = 400 * time.Millisecond
	// contentKeepAlive is the interval of padding.
	contentKeepAlive = 100 * time.Millisecond
	// maxContentReaders bounds the hosts that get contents at the same time; others ask elsewhere.
	maxContentReaders = 8
)

// contentServer sends large values of the directory to other hosts.
type contentServer struct {
	contents *contents
	log      logrus.FieldLogger
	metrics  *metrics
	// readers holds an item for each answer under way.
	readers chan struct{}
}

func newContentServer(contents *contents, log logrus.FieldLogger, metrics *metrics) *contentServer {
	return &contentServer{contents: contents, log: log, metrics: metrics, readers: make(chan struct{}, maxContentReaders)}
}

// ServeHTTP answers another host that asks for a content.
func (s *contentServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.readers <- struct{}{}:
		defer func() { <-s.readers }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id, base := spoke.ContentID(r.URL.Query().Get(contentID)), spoke.DirectoryContent{}
	if known, isKnown := s.contents.get(spoke.ContentID(r.URL.Query().Get(contentBase))); isKnown {
		base = known
		w.Header().Set(contentBaseHeader, string(base.ID))
	}
	controller := http.NewResponseController(w)
	pad := func() {
		s.write(w, []byte{contentPadding})
		_ = controller.Flush()
	}
	content, err := s.contents.await(r.Context(), id, contentPatience, contentKeepAlive, pad)
	if err != nil {
		return
	}
	encoded, err := s.contents.encode(base, content)
	if err != nil {
		s.log.WithError(err).Warn("content of the directory not sent to a peer")
		return
	}
	s.write(w, append([]byte{contentStart}, encoded...))
}

func (s *contentServer) write(w http.ResponseWriter, raw []byte) {
	sendToPeer(w, raw, s.log, s.metrics)
}
