package berylconfig_test

import (
	"fmt"

	"berylspan/core/berylconfig"
)

// Parse reports the findings of both lists together, each with its path.
func ExampleParse() {
	workspaces := `{"workspaces": [{"name": "luna", "plan": "large", "keys": []}]}`
	plans := `{"zones": [{"name": "mx1"}],
	 "routes": [{"path": "/orders.Orders/Place", "service": "orders", "class": "urgent"}],
	 "plans": [{"name": "small", "rate": 20, "burst": 0, "routes": ["/orders.Orders/*"]}]}`
	_, findings := berylconfig.Parse(1, []byte(workspaces), []byte(plans))
	for _, f := range findings {
		fmt.Println(f)
	}
	// Output:
	// plans: routes[0].class: must be critical, standard or bulk
	// plans: plans[0].burst: must be between 1 and 1e+08
	// workspaces: workspaces[0].plan: no plan "large"
}
