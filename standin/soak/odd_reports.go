package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// reportField is a field of a report: the object that holds it, and a valid value as JSON.
type reportField struct{ object, name, value string }

// oddForms are what another writer may make of a field with a name and a value.
var oddForms = []func(name, value string) string{
	func(_, _ string) string { return "" },
	func(name, _ string) string { return fmt.Sprintf("%q:null", name) },
	func(name, _ string) string { return fmt.Sprintf("%q:%q", name, "") },
	func(name, value string) string { return fmt.Sprintf("%q:[%s]", name, value) },
	func(name, _ string) string { return fmt.Sprintf("%q:{}", name) },
	func(name, value string) string { return fmt.Sprintf("%q:%s", strings.ToUpper(name), value) },
	func(name, value string) string { return fmt.Sprintf("%q:%s,%q:%s", name, value, name, value) },
}

// oddReport returns a report that is not of the target beside the node: one field has another form, or another value than the
// platform has for the VM, or the bytes are no report.
func (n *node) oddReport(random *rand.Rand, address string) string {
	fields := []reportField{
		{"", "address", fmt.Sprintf("%q", address)},
		{"", "born", fmt.Sprint(time.Now().UnixMilli())},
		{"info", "service", fmt.Sprintf("%q", service)},
		{"info", "version", `"v1"`},
		{"info", "zone", fmt.Sprintf("%q", n.domain)},
		{"info", "slots", "6"},
		{"status", "state", `"ready"`},
		{"status", "sequence", "1"},
		{"status", "cold-left-s", "0"},
	}
	others := map[string]string{
		"address": fmt.Sprintf("%q", n.ip+":9"), "service": `"nosuch"`, "zone": `"elsewhere"`, "state": `"resting"`,
		"sequence": "9223372036854775808", "born": "1.5", "slots": "-1",
	}
	chosen := fields[random.IntN(len(fields))]
	odd := oddForms[random.IntN(len(oddForms))](chosen.name, chosen.value)
	if other, known := others[chosen.name]; known && random.IntN(2) == 0 {
		odd = fmt.Sprintf("%q:%s", chosen.name, other)
	}
	if random.IntN(len(fields)) == 0 {
		return []string{"\xff\x00", strings.Repeat("[", 1000), "{}", "null"}[random.IntN(4)]
	}
	objects := make(map[string][]string)
	for _, f := range fields {
		member := fmt.Sprintf("%q:%s", f.name, f.value)
		if f == chosen {
			member = odd
		}
		if member != "" {
			objects[f.object] = append(objects[f.object], member)
		}
	}
	top := append(objects[""],
		fmt.Sprintf(`"info":{%s}`, strings.Join(objects["info"], ",")), fmt.Sprintf(`"status":{%s}`, strings.Join(objects["status"], ",")))
	return "{" + strings.Join(top, ",") + "}"
}

// sendOddReport sends what another writer may send to the node: it names no target to use.
func (n *node) sendOddReport(random *rand.Rand) {
	instance := []string{"i-other", n.current().Instance()}[random.IntN(2)]
	method := http.MethodPut
	body := n.oddReport(random, n.targetLink.address())
	if random.IntN(8) == 0 {
		method, instance, body = http.MethodDelete, "i-other", ""
	}
	req, err := http.NewRequest(method, "http://"+n.ip+":7205/instances/"+instance, strings.NewReader(body))
	if err != nil {
		panic(err) // The URL is well formed.
	}
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
