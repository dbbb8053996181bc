package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
	"wagtailford.example/ctl/output"
)

func (a *app) explainRouteCommand() *cobra.Command {
	request := &pb.ExplainRouteRequest{}
	var idempotent bool
	cmd := &cobra.Command{
		Use:   "explain-route HOST PATH",
		Short: "Explain where a node would send a request now and why, without sending it",
		Long: "Asks the node that --server names how it would place a request of a caller outside the mesh that states no\n" +
			"timeout, with what that node knows now. Nothing is sent or changed. The load of other nodes is as old as their\n" +
			"latest responses to this one. ORDER numbers the nodes as they would be tried if each refused the request for a reason\n" +
			"that says nothing of the others; a star marks those that the random variation of ranks may put first.",
		Args: args(2),
		RunE: func(cmd *cobra.Command, values []string) error {
			request.Host, request.Path = values[0], values[1]
			if cmd.Flags().Changed("idempotent") {
				request.Idempotent = &idempotent
			}
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Mesh.ExplainRoute(ctx, request)
				if err != nil {
					return err
				}
				return a.printRoute(response)
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&request.Method, "method", "GET", "method of the request")
	flags.StringVar(&request.Organisation, "organisation", "", "name of the organisation that sends the request")
	flags.BoolVar(&idempotent, "idempotent", false, "treat the request as idempotent or not, whatever the route and the method say")
	flags.StringVar(&request.Node, "node", "", "node that has to answer; fails if --server is another one")
	return cmd
}

// printRoute prints the decisions in their order and the candidates below them.
func (a *app) printRoute(r *pb.ExplainRouteResponse) error {
	err := a.printer.Print(r, []string{"DECISION", "RESULT"}, decisionRows(r))
	if err != nil || a.printer.Format == output.FormatJSON || len(r.GetCandidates()) == 0 {
		return err
	}
	order := make(map[string]int)
	for i, node := range r.GetOrder() {
		order[node] = i + 1
	}
	var rows [][]string
	for _, c := range r.GetCandidates() {
		rows = append(rows, candidateRow(c, order[c.GetNode()]))
	}
	fmt.Fprintln(a.printer.Writer)
	return a.printer.Print(r, []string{
		"ORDER", "NODE", "FAILURE DOMAIN", "STATE", "SOFTWARE", "FREE SLOTS", "EXPECTED", "RANK", "REPORT AGE", "EXCLUDED",
	}, rows)
}

func decisionRows(r *pb.ExplainRouteResponse) [][]string {
	var rows [][]string
	add := func(name, format string, values ...any) {
		rows = append(rows, []string{name, fmt.Sprintf(format, values...)})
	}
	version := fmt.Sprint(r.GetVersion())
	switch {
	case r.GetVersion() == 0:
		version = "none"
	case r.GetBehind():
		version += ", and a newer one is known"
	}
	add("node", "%s", r.GetNode())
	add("version", "%s", version)
	if r.GetRoute() != "" {
		add("route", "%s", r.GetRoute())
	}
	if r.GetQuota() != nil {
		add("quota", "%s", quotaText(r.GetQuota()))
	}
	if r.GetService() != "" {
		service := r.GetService()
		if r.GetServiceUndecided() {
			service += ", for example; the first request of the route goes to a random service"
		}
		add("service", "%s", service)
		add("rank", "%s", rankText(r))
		add("attempts", "%s", attemptsText(r))
	}
	if v := r.GetSoftwareVersion(); v != nil {
		add("software version", "%s (order for %s: %s, share %.3g)", v.GetVersions(), v.GetTargetVersion(), v.GetState(), v.GetShare())
	}
	if len(r.GetOrder()) > 0 {
		add("order", "%s (%s)", strings.Join(r.GetOrder(), ", "), r.GetBalance())
	}
	if x := r.GetRejection(); x != nil {
		retry := "no Retry-After"
		if x.GetRetryAfterS() > 0 {
			retry = fmt.Sprintf("Retry-After %.3f s", x.GetRetryAfterS())
		}
		add("rejected", "%d %s, %s", x.GetStatus(), x.GetReason(), retry)
	}
	return rows
}

func rankText(r *pb.ExplainRouteResponse) string {
	text := fmt.Sprintf("organisation %d, route %d", r.GetOrganisationPriority(), r.GetRoutePriority())
	if r.GetNested() {
		text += ", calls of running requests"
	}
	return text
}

func attemptsText(r *pb.ExplainRouteResponse) string {
	kind := "not idempotent"
	if r.GetIdempotent() {
		kind = "idempotent"
	}
	text := fmt.Sprintf("%d at targets, %s, within %d ms", r.GetMaxAttempts(), kind, r.GetTimeoutMs())
	if r.GetObjectiveMs() > 0 {
		text += fmt.Sprintf(", objective %d ms", r.GetObjectiveMs())
	}
	return text
}

func quotaText(q *pb.QuotaLeft) string {
	if !q.GetHasRate() {
		return q.GetOrganisation() + ": no rate"
	}
	left := fmt.Sprint(q.GetLeft())
	if q.GetMore() {
		left = "more than " + left
	}
	answered := "it has not answered yet"
	if q.AnsweredAgeMs != nil {
		answered = fmt.Sprintf("it answered a report sent %d ms ago", q.GetAnsweredAgeMs())
	}
	if q.GetOwner() == "" {
		answered = "there is no owner"
	}
	text := fmt.Sprintf("%s: %s left here now; %.3g/s and burst %.3g over %d nodes, %.3g/s here without the owner; contact to the owner %s: %s, %s",
		q.GetOrganisation(), left, q.GetRatePerSecond(), q.GetBurst(), q.GetNodes(), q.GetPartPerSecond(), q.GetOwner(), q.GetContact(), answered)
	if q.GetAdmittedPerMille() < 1000 {
		text += fmt.Sprintf("; limited to %d of 1000 requests", q.GetAdmittedPerMille())
	}
	if q.GetRateLowered() {
		text += "; the owner may not know the lowered rate yet"
	}
	return text
}

func candidateRow(c *pb.Candidate, order int) []string {
	position := ""
	switch {
	case order > 0:
		position = fmt.Sprint(order)
	case c.GetMayBeFirst():
		position = "-"
	}
	if c.GetMayBeFirst() {
		position += "*"
	}
	row := []string{position, c.GetNode(), c.GetFailureDomain(), c.GetState(), c.GetSoftwareVersion()}
	if !c.GetRated() {
		return append(row, "", "", "", "", c.GetExcluded())
	}
	reported := "no report"
	if c.ReportAgeMs != nil {
		reported = fmt.Sprintf("%d ms", c.GetReportAgeMs())
	}
	excluded := c.GetExcluded()
	switch {
	case excluded == "ejected" && c.GetEjectedForMs() > 0:
		excluded += fmt.Sprintf(" for %d ms", c.GetEjectedForMs())
	case excluded == "full":
		excluded += fmt.Sprintf(" for %d ms", c.GetFullForMs())
	}
	return append(row, fmt.Sprintf("%.0f of %d", c.GetFreeSlots(), c.GetSlots()), fmt.Sprintf("%.0f ms", c.GetExpectedMs()),
		fmt.Sprintf("%.0f ms (%.0f-%.0f)", c.GetRankMs(), c.GetRankMinMs(), c.GetRankMaxMs()), reported, excluded)
}
