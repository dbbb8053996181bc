package tmpdeps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cloudwego/hertz/pkg/app/client"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/google/uuid"
	_ "github.com/spf13/cobra"
	_ "gotest.tools/v3/assert"
)
