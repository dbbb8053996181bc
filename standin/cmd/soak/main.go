// Command soak disturbs a mesh of real processes by seeded schedules and prints the promises that were broken.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"wagtailford.example/standin/soak"
)

func main() {
	program := flag.String("program", "bin/wagtaild", "path of wagtaild")
	first := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 1, "number of seeds")
	nodes := flag.Int("nodes", 6, "number of nodes")
	length := flag.Duration("length", 20*time.Second, "how long faults come for each seed")
	dir := flag.String("dir", "", "folder for settings and logs; a temporary one without it")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := play(ctx, *program, *dir, *first, *count, *nodes, *length); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func play(ctx context.Context, program, dir string, first uint64, count, nodes int, length time.Duration) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	broken := 0
	for i := range uint64(count) {
		seed := first + i
		place := filepath.Join(dir, fmt.Sprint(seed))
		if err := os.MkdirAll(place, 0o700); err != nil {
			return err
		}
		faults, err := soak.Run(ctx, soak.Settings{
			Program: program, Dir: place, Seed: seed, Nodes: nodes, Length: length, Out: os.Stdout,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w (logs in %s)", seed, err, place)
		}
		for _, f := range faults {
			fmt.Printf("seed=%d BROKEN %s\n", seed, f)
		}
		if len(faults) > 0 {
			broken++
			fmt.Printf("seed=%d logs in %s\n", seed, place)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, count)
	}
	return nil
}
