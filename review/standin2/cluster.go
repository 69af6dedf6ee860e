package standin2

import (
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// cluster is three order servers with replicas of the store.
type cluster struct {
	play         *Play
	copies       string // of an operator's file: id and address of each replica
	operatorFile string // for commands
	servers      []*process
	env          [][]string // by server
}

// startCluster starts the three order servers, with gateways at the given addresses if there are any, and waits until the store takes
// changes.
func (p *Play) startCluster(runsAt string, gateways []string, settings map[string]any) (*cluster, error) {
	addresses, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	c := &cluster{play: p, copies: fmt.Sprintf("{n1: %q, n2: %q, n3: %q}", addresses[0], addresses[1], addresses[2])}
	duties := fmt.Sprintf("duties:\n  copies: %s\n  list:\n    - {name: settler, ttl_ms: 3000}\n", c.copies)
	if c.operatorFile, err = p.writeFile("commands.yaml", duties); err != nil {
		return nil, err
	}
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		config, err := p.platformFile(name, map[string]any{"listen": addresses[3+i]}, settings)
		if err != nil {
			return nil, err
		}
		listen := ""
		if len(gateways) > 0 {
			listen = fmt.Sprintf("  listen: %s\n", gateways[i])
		}
		operator, err := p.writeFile(name+"/operator.yaml", fmt.Sprintf("uwsgi:\n%s  servers: [%q]\nstore:\n  id: %s\n  listen: %s\n  dir: %s\n  peers: %s\n%s",
			listen, runsAt, name, addresses[i], p.path(name+"/store"), c.copies, duties))
		if err != nil {
			return nil, err
		}
		c.servers, c.env = append(c.servers, nil), append(c.env, []string{"RELAY_CONFIG=" + config, "PUFFINSADDLE_OPERATOR=" + operator})
		if err := c.restart(i); err != nil {
			return nil, err
		}
	}
	return c, waitUntil(30*time.Second, "the store has a leader", func() bool {
		_, err := c.command("config", "status", "--operator", c.operatorFile)
		return err == nil
	})
}

// restart starts an order server, again if it ran before.
func (c *cluster) restart(i int) (err error) {
	c.servers[i], err = c.play.startServer(fmt.Sprintf("n%d", i+1), c.env[i]...)
	return err
}

// command runs a command of the program and returns its output.
func (c *cluster) command(args ...string) (string, error) {
	out, err := exec.Command("bin/puffinsaddle", args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}
