package tmpdeps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/apex/log/handlers/json"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/client"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cloudwego/hertz/pkg/network/standard"
	_ "github.com/google/uuid"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/spf13/cobra"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
	_ "wagtailford.example/api/wagtailford/v1"
)
