package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"wagtailford.example/standin/platform"
)

const (
	// organisationPath is under a route that needs a key while the configuration contains a list of organisations. All other
	// routes are public then.
	organisationPath = "/org/1"
	// organisation has a rate, and organisationKey while a configuration lists it. unknownKey is in no configuration.
	organisation    = "limited"
	organisationKey = "key-of-limited"
	unknownKey      = "key-of-nobody"
	// keyInterval is the time between two requests of the organisation to a node. All nodes together get several times its rate.
	keyInterval = 30 * time.Millisecond
)

// Quota of the organisation, and what all nodes together may run of it. Source: quota-window-s, quota-overage and quota-slack of the
// deployments with organisations, which are the defaults of the settings.
const (
	quotaRate, quotaBurst = 20, 20
	quotaWindow           = 5 * time.Second
	quotaBound            = int((quotaRate*5+quotaBurst)*1.1 + 20)
)

// listForm is how a configuration states its list of organisations.
type listForm int

const (
	listAbsent listForm = iota
	listNull
	listEmpty
	// listKeyless has the organisation without a key, listFull with it.
	listKeyless
	listFull
)

// member returns the list as the operator writes it, with a comma.
func (f listForm) member() string {
	entry := fmt.Sprintf(`{"name":%q,"rate-per-s":%d,"burst":%d`, organisation, quotaRate, quotaBurst)
	switch f {
	case listNull:
		return `"tenants":null,`
	case listEmpty:
		return `"tenants":[],`
	case listKeyless:
		return `"tenants":[` + entry + `}],`
	case listFull:
		return `"tenants":[` + entry + fmt.Sprintf(`,"api-keys":[%q]}],`, organisationKey)
	}
	return ""
}

// limitForms are the forms of another optional member, with a comma.
var limitForms = []string{`"limits":{"idle-timeout-s":15},`, ``, `"limits":null,`, `"limits":{},`, `"limits":{"max-body-bytes":null,"idle-timeout-s":0},`}

// organisations draws the lists of the configurations of a run. It draws from a sequence of its own.
type organisations struct {
	random *rand.Rand
	// forms are those that the configurations of the run may have; a run without organisations has only the absent one.
	forms []listForm
}

func newOrganisations(seed uint64) *organisations {
	random := rand.New(rand.NewPCG(seed, 43))
	forms := [][]listForm{
		{listAbsent},
		{listFull},
		{listNull, listEmpty, listKeyless, listFull},
		{listAbsent, listNull, listEmpty, listKeyless, listFull},
	}
	return &organisations{random: random, forms: forms[random.IntN(len(forms))]}
}

// played reports whether the run has organisations.
func (o *organisations) played() bool { return len(o.forms) > 1 || o.forms[0] != listAbsent }

// isQuotaChecked reports whether the organisation has its rate and its key all the time.
func (o *organisations) isQuotaChecked() bool { return len(o.forms) == 1 && o.forms[0] == listFull }

// draw returns the next list and the limits.
func (o *organisations) draw() (form listForm, limits string) {
	if !o.played() {
		return listAbsent, limitForms[0]
	}
	return o.forms[o.random.IntN(len(o.forms))], limitForms[o.random.IntN(len(limitForms))]
}

// public is the member that opens the other routes, with a comma; empty in runs without organisations.
func (o *organisations) public() string {
	if !o.played() {
		return ""
	}
	return `"public":true,`
}

// rule is the route of organisationPath, after a comma; empty in runs without organisations.
func (o *organisations) rule() string {
	if !o.played() {
		return ""
	}
	return fmt.Sprintf(`,{"name":"org","kind":"idempotent","target-latency-s":0.5,"priority":1,"match":{"path-prefix":"/org/"},"action":{"service":%q,"timeout-s":1.5,"max-attempts":2}}`, service)
}

// sendKeys sends requests with the key of the organisation to a node, and now and then with an unknown one, until ctx ends. They
// come on one connection as long as it lasts.
func (r *run) sendKeys(ctx context.Context, n *node) {
	if !r.organisations.played() {
		return
	}
	caller := platform.NewCaller(n.ip + ":7204")
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		key := organisationKey
		if i%8 == 0 {
			key = unknownKey
		}
		call := r.check.nextWith(organisationPath, "", "Authorization: Bearer "+key)
		sent := time.Now()
		reply := caller.Do(context.WithoutCancel(ctx), call)
		r.check.keep(n.id, call, reply)
		if reply.Err == nil && r.check.inTouch(n.id, sent, time.Now()) {
			if fault, detail := judgeKey(key, reply.Status, r.published.mayBeInForce(sent, time.Now())); fault != "" {
				r.check.faultOnce(fault, fmt.Sprintf("node %d, %s: %s", n.id, key, detail), call.ID)
			}
		}
		time.Sleep(keyInterval)
	}
}

// judgeKey compares the status of an answer with the configurations that may be in force.
func judgeKey(key string, status int, list []publication) (fault, detail string) {
	allowing, requiring, open := 0, 0, 0
	for _, c := range list {
		hasKey := c.list == listFull && key == organisationKey
		if c.list == listAbsent {
			open++
		}
		if c.list == listAbsent && !c.keysWithdrawn || hasKey {
			allowing++
		}
		if c.list == listAbsent && !c.followsList || hasKey {
			requiring++
		}
	}
	newest, oldest := list[0].version, list[len(list)-1].version
	switch {
	case status == http.StatusOK && allowing == 0:
		return "ROUTE", fmt.Sprintf("got 200 though versions %d to %d do not have the key", oldest, newest)
	case status == http.StatusUnauthorized && requiring == len(list):
		return "DENIED", fmt.Sprintf("got 401 though versions %d to %d have the key", oldest, newest)
	case status == http.StatusTooManyRequests && open == len(list):
		return "DENIED", fmt.Sprintf("got 429 though versions %d to %d have no organisation", oldest, newest)
	case status >= 400 && status < 500 && status != http.StatusUnauthorized && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		return "DENIED", fmt.Sprintf("got %d", status)
	}
	return "", ""
}

// endOrganisations checks the runs of requests with keys, and the quota.
func (c *check) endOrganisations(o *organisations, runs []platform.Run) {
	if !o.played() {
		return
	}
	wasOpen := o.forms[0] == listAbsent
	var limited []platform.Run
	for _, run := range runs {
		call := c.calls[run.RequestID]
		switch {
		case run.Organisation == organisation:
			limited = append(limited, run)
			if !strings.HasPrefix(run.Path, "/org/") || !strings.HasSuffix(call.Headers[0], organisationKey) {
				c.fault("UNASKED", fmt.Sprintf("%s ran for organisation %s", run.RequestID, run.Organisation))
			}
		case run.Organisation != "":
			c.fault("UNASKED", fmt.Sprintf("%s ran for organisation %s", run.RequestID, run.Organisation))
		case strings.HasPrefix(run.Path, "/org/") && !wasOpen:
			c.fault("ROUTE", fmt.Sprintf("%s ran without an organisation, with %s", run.RequestID, call.Headers[0]))
		}
		if run.Authorization != "" && !wasOpen {
			c.fault("UNASKED", fmt.Sprintf("%s ran with %s", run.RequestID, run.Authorization))
		}
	}
	if o.isQuotaChecked() {
		c.endQuota(limited)
	}
}

// endQuota checks that no window has more runs of the organisation than its quota allows.
func (c *check) endQuota(runs []platform.Run) {
	sortRuns(runs)
	first, most := 0, 0
	var at time.Time
	for i, run := range runs {
		for run.At.Sub(runs[first].At) > quotaWindow {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, run.At
		}
	}
	c.mostOfQuota = most
	if most > quotaBound {
		c.fault("QUOTA", fmt.Sprintf("%d runs in %v until %s, at most %d", most, quotaWindow, at.Format("15:04:05.000"), quotaBound))
	}
}
