package tool

import "time"

type (
	submitSettings struct {
		Files []string `arg:"positional,required" placeholder:"FILE" help:"ticket as JSON; - reads standard input"`
	}

	showSettings struct {
		Number uint64 `arg:"positional" help:"ticket number; without it, the configuration in force"`
	}

	diffSettings struct {
		Old uint64 `arg:"positional,required" help:"number of the older ticket"`
		New uint64 `arg:"positional,required" help:"number of the newer ticket"`
	}

	statusSettings struct{}

	drainSettings struct{}

	timelineSettings struct {
		Request  string `arg:"--request" placeholder:"ID" help:"only events of this request"`
		Upstream string `arg:"--upstream" placeholder:"ID" help:"only events of this upstream"`
		Ticket   uint64 `arg:"--ticket" placeholder:"NUMBER" help:"only events of this ticket"`
		Since    string `arg:"--since" placeholder:"TIME" help:"RFC 3339 time or age such as 15m"`
		Until    string `arg:"--until" placeholder:"TIME" help:"RFC 3339 time or age such as 5m"`
		Trace    string `arg:"--trace" placeholder:"FILE" help:"write a file for a browser's trace viewer"`
	}

	explainSettings struct {
		Request string `arg:"positional,required" help:"request id, from the X-Request-Id header"`
		Logs    string `arg:"--logs" placeholder:"DIR" help:"explain from the log files of hosts in a directory, without asking the hosts"`
		Trace   string `arg:"--trace" placeholder:"FILE" help:"with --logs, write a file for a browser's trace viewer as well"`
	}

	lateSettings struct {
		Logs string `arg:"positional,required" placeholder:"DIR" help:"directory with the log files of hosts"`
	}

	settings struct {
		Hosts   []string      `arg:"--host,separate,env:SPOKE_HOSTS" placeholder:"ADDRESS" help:"administration address of a host; may be repeated"`
		KeyFile string        `arg:"--key-file" placeholder:"FILE" help:"file with the administration key; else SPOKE_ADMIN_KEY"`
		Key     string        `arg:"--,env:SPOKE_ADMIN_KEY" help:"administration key"`
		JSON    bool          `arg:"--json" help:"write JSON"`
		Timeout time.Duration `arg:"--timeout" default:"10s" help:"limit for each call"`

		Submit   *submitSettings   `arg:"subcommand:submit" help:"submit change tickets"`
		Show     *showSettings     `arg:"subcommand:show" help:"show a ticket or the configuration in force"`
		Diff     *diffSettings     `arg:"subcommand:diff" help:"show what differs between two tickets"`
		Status   *statusSettings   `arg:"subcommand:status" help:"show hosts, upstreams, caches and store hosts"`
		Drain    *drainSettings    `arg:"subcommand:drain" help:"shut one host down gracefully"`
		Timeline *timelineSettings `arg:"subcommand:timeline" help:"show the merged events of all hosts"`
		Explain  *explainSettings  `arg:"subcommand:explain" help:"show what happened to a request"`
		Late     *lateSettings     `arg:"subcommand:late" help:"show from logs why streams were late"`
	}
)
