package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func init() {
	cases["lease-reuse"] = leaseReuse
	cases["lease-nodes"] = leaseNodes
}

const (
	reuseJobs   = 12
	reuseBudget = 60 * time.Second
	reuseRun    = 300 * time.Millisecond
	// reuseHang is how long one of two executors hangs: the pages name 5.1 to 23 s.
	reuseHang = 12 * time.Second
)

// leaseReuse hands in durable jobs, fetches their answers, lets them go and hands in other jobs under the same ids. With trouble the
// node is restarted by SIGTERM while one of two executors hangs.
func leaseReuse(e *env) error {
	executors, list, err := reuseWorld(e)
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	options := nodeOptions{name: "n0", config: durableConfig("n0", addr, list.addr), site: durableSite(filepath.Join(e.dir, "store"))}
	node, err := e.startNode(options)
	if err != nil {
		return err
	}
	if err := e.waitReady(addr, 10*time.Second); err != nil {
		return err
	}
	client := &durableClient{env: e, http: newClient(100 * time.Second), addr: addr}
	if err := reuseFirst(client); err != nil {
		return err
	}
	for i := range reuseJobs {
		if err := client.remove(reuseID(i)); err != nil {
			return err
		}
	}
	return reuseSecond(e, client, executors, node, options)
}

// reuseWorld starts two executors and discovery.
func reuseWorld(e *env) (executors []*leaseExecutor, list *discovery, err error) {
	var hosts []host
	for i := range 2 {
		x, h, err := startLeaseExecutor(e, fmt.Sprintf("s-%d", i), reuseRun)
		if err != nil {
			return nil, nil, err
		}
		executors, hosts = append(executors, x), append(hosts, h)
	}
	list, err = startDiscovery(hosts...)
	return executors, list, err
}

// leaseNodes hands in durable jobs at one node, and other jobs under the same ids at another node with a store of its own. With
// trouble the second node is restarted by SIGTERM while one of two executors hangs.
func leaseNodes(e *env) error {
	executors, list, err := reuseWorld(e)
	if err != nil {
		return err
	}
	var clients []*durableClient
	var nodes []*nodeProcess
	var options []nodeOptions
	for i := range 2 {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("n%d", i)
		config := durableConfig(name, addr, list.addr)
		settings := config["settings"].(map[string]any)
		settings["balancers"], settings["my-number"] = 2, i
		options = append(options, nodeOptions{name: name, config: config, site: durableSite(filepath.Join(e.dir, "store-"+name))})
		node, err := e.startNode(options[i])
		if err != nil {
			return err
		}
		if err := e.waitReady(addr, 10*time.Second); err != nil {
			return err
		}
		nodes = append(nodes, node)
		clients = append(clients, &durableClient{env: e, http: newClient(100 * time.Second), addr: addr})
	}
	if err := reuseFirst(clients[0]); err != nil {
		return err
	}
	return reuseSecond(e, clients[1], executors, nodes[1], options[1])
}

// reuseSecond hands in the second jobs and checks their answers. With trouble one executor hangs meanwhile, and the node is restarted.
func reuseSecond(e *env, client *durableClient, executors []*leaseExecutor, node *nodeProcess, options nodeOptions) error {
	if e.trouble {
		executors[0].hang()
		time.AfterFunc(reuseHang, executors[0].resume)
	}
	for _, i := range reuseOrder(executors[0]) {
		if status, err := client.put(reuseID(i), "order", reuseBody("second", i), reuseBudget); err != nil || status != 201 {
			return fmt.Errorf("a job was not accepted: %d %w", status, err)
		}
	}
	if e.trouble {
		time.Sleep(time.Second)
		e.signal(node, syscall.SIGTERM)
		if err := node.wait(10 * time.Second); err != nil {
			return err
		}
		if _, err := e.startNode(options); err != nil {
			return err
		}
		if err := e.waitReady(client.addr, 10*time.Second); err != nil {
			return err
		}
	}
	return reuseCheck(e, client, executors)
}

// reuseOrder returns the order in which clients use the ids again: first those whose first job has run at this executor.
func reuseOrder(x *leaseExecutor) (order []int) {
	for _, there := range [...]bool{true, false} {
		for i := range reuseJobs {
			if x.ran(reuseBody("first", i)) > 0 == there {
				order = append(order, i)
			}
		}
	}
	return order
}

func reuseID(i int) string { return fmt.Sprintf("order-%d", 17+i) }

func reuseBody(life string, i int) string { return fmt.Sprintf("%s job under %s", life, reuseID(i)) }

// reuseFirst hands in the first job of each id and fetches its answer.
func reuseFirst(client *durableClient) error {
	for i := range reuseJobs {
		if status, err := client.put(reuseID(i), "order", reuseBody("first", i), reuseBudget); err != nil || status != 201 {
			return fmt.Errorf("a job was not accepted: %d %w", status, err)
		}
	}
	for i := range reuseJobs {
		status, err := client.get(reuseID(i), 30*time.Second)
		if err != nil {
			return err
		}
		if status.Final != "handled" || string(status.Result) != resultOf(reuseBody("first", i)) {
			return fmt.Errorf("%s: %+v", reuseID(i), status)
		}
	}
	return nil
}

// reuseCheck fetches the answers of the second jobs, and compares them with what the executors have run.
func reuseCheck(e *env, client *durableClient, executors []*leaseExecutor) error {
	for i := range reuseJobs {
		body := reuseBody("second", i)
		status, err := client.get(reuseID(i), 80*time.Second)
		if err != nil {
			return err
		}
		ran := 0
		for _, x := range executors {
			ran += x.ran(body)
		}
		e.record.line("%s: %s; its body has run %d times", reuseID(i), status.Final, ran)
		switch {
		case status.Final == "":
			e.breaks("%s, which was answered 201, has no final answer", reuseID(i))
		case status.Final == "handled" && string(status.Result) != resultOf(body):
			e.breaks("%s, body %q, is answered with %q; its body has run %d times", reuseID(i), body, status.Result, ran)
		case ran > 1:
			e.breaks("%s, which must never run twice, has run %d times", reuseID(i), ran)
		}
	}
	return nil
}

// durableConfig is the configuration of a node of a small deployment.
func durableConfig(name, addr, discoveryAddr string) map[string]any {
	return map[string]any{
		"name": name, "listen": addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"balancers": 1, "my-number": 0, "locality": 0, "areas": []string{"east", "west"}, "flavors": []string{"large", "small"},
			"quantum-s": 0.004, "discovery": "push", "weights": "off", "earnings-per": "work",
			"caps": map[string]any{"cancel": true, "max-allocations": 3, "retry-after": true, "max-retry-after-s": 2.0,
				"conn-idle-s": 60.0, "dial-timeout-s": 0.1},
			"domain":      map[string]any{"tells-start": true},
			"report":      map[string]any{"how": "off", "fields": []string{}},
			"rules":       map[string]any{"cold-share": 0.3, "warm-within-s": 9.0, "fall-multiple": 4.0, "fall-s": 1.5, "drain-grace-s": 1.5},
			"score-parts": map[string]any{"whole": 1.0},
			"tracks": []map[string]any{
				{"name": "page", "quoted-time-s": 0.3, "outer-limit-s": 5.0, "repeat": "repeatable", "earnings": 2.0},
				{"name": "order", "quoted-time-s": 0.75, "outer-limit-s": 20.0, "repeat": "once", "earnings": 8.0},
			},
		},
	}
}

// durableSite is the site file of a node with durable jobs, whose executors support leases.
func durableSite(dir string) string {
	return fmt.Sprintf("[durable]\ndir = %q\nouter-limit = \"24h\"\nkeep = \"24h\"\nsegment = \"1MiB\"\nmost = \"16MiB\"\nin-hand = 256\nleases = true\nask-every = \"2s\"\n", dir)
}
