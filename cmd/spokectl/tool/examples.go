package tool

const (
	description = "Manage and inspect the entry hosts of magnoliaspoke."

	commonExamples = `Examples:
  spokectl --host 10.1.0.4:9100 --key-file admin.key status
  SPOKE_HOSTS=10.1.0.4:9100,10.1.0.5:9100 spokectl timeline --since 15m
  spokectl submit --help

Exit codes: 0 all hosts answered, 1 failure, 2 wrong usage, 3 some hosts did not answer.`
)

var examples = map[string]string{
	"submit": `Examples:
  spokectl --host 10.1.0.4:9100 submit 0042.json
  spokectl --host 10.1.0.4:9100 submit - < 0042.json

A ticket whose outcome is unknown can be submitted again safely.`,
	"show": `Examples:
  spokectl --host 10.1.0.4:9100 show 42
  spokectl --host 10.1.0.4:9100 show`,
	"diff": `Examples:
  spokectl --host 10.1.0.4:9100 diff 41 42`,
	"status": `Examples:
  spokectl --host 10.1.0.4:9100 --host 10.1.0.5:9100 status
  spokectl --host 10.1.0.4:9100 --json status`,
	"drain": `Examples:
  spokectl --host 10.1.0.4:9100 drain

Only one host is drained at a time.`,
	"timeline": `Examples:
  spokectl timeline --since 15m --upstream engine-3
  spokectl timeline --request 0f3a --trace request.json`,
	"late": `Examples:
  spokectl late /var/log/edge
  spokectl --json late /var/log/edge`,
	"explain": `Examples:
  spokectl --host 10.1.0.4:9100 --host 10.1.0.5:9100 explain 0f3a
  spokectl explain 9c41d07be2a35f68 --logs /var/log/edge --trace request.json`,
}
