"""Reading of the platform: configuration service and instance list."""
