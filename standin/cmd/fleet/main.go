// Command fleet starts a fleet of nodes with targets that accept connections only, and holds it for experiments. At every
// interval it prints what the nodes use.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wagtailford.example/standin/bench"
	"wagtailford.example/standin/fleet"
)

func main() {
	var nodes, services int
	var settings, bin string
	var interval time.Duration
	cmd := &cobra.Command{
		Use:           "fleet",
		Short:         "Start nodes with idle targets and report what they use",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(nodes, services, bin, settings, interval)
		},
	}
	cmd.Flags().IntVar(&nodes, "nodes", 20, "number of nodes")
	cmd.Flags().IntVar(&services, "services", 6, "number of services")
	cmd.Flags().StringVar(&bin, "bin", "bin", "directory with the built programs")
	cmd.Flags().StringVar(&settings, "settings", "", "file whose content is appended to each node's settings")
	cmd.Flags().DurationVar(&interval, "interval", 10*time.Second, "interval of the reports")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(nodes, services int, bin, settingsFile string, interval time.Duration) error {
	extra := bench.TargetSettings
	if settingsFile != "" {
		data, err := os.ReadFile(settingsFile)
		if err != nil {
			return err
		}
		extra += string(data)
	}
	if err := os.Setenv(bench.BinVariable, bin); err != nil {
		return err
	}
	f, err := bench.Start(fleet.Options{Plans: bench.Plans(nodes, services), Settings: extra})
	if f != nil {
		defer bench.Finish(f)
	}
	if err != nil {
		return err
	}
	stop, err := bench.ListenAsTargets(f.Plans)
	if err != nil {
		return err
	}
	defer stop()
	if err := bench.Configure(f, services); err != nil {
		return err
	}
	fmt.Println("settings and logs:", f.Dir)
	return report(f, interval)
}

// report prints the rates of the fleet until a signal arrives.
func report(f *fleet.Fleet, interval time.Duration) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	before := f.Sample()
	for {
		select {
		case <-signals:
			return nil
		case <-time.After(interval):
		}
		after := f.Sample()
		r := fleet.Between(before, after)
		fmt.Printf("cpu %.2f%% mean %.2f%% max, control %.0f B/s mean %.0f B/s max (%s), resident %.1f MiB max\n",
			r.CPUMean, r.CPUMax, r.BytesMean, r.BytesMax, r.Busiest, float64(r.ResidentMax)/(1<<20))
		before = after
	}
}
