package tmpdeps

import (
	_ "github.com/google/uuid"
	_ "github.com/spf13/cobra"
	_ "google.golang.org/grpc"
	_ "gotest.tools/v3/assert"
	_ "wagtailford.example/api/wagtailford/v1"
)
