"""Small fakes of model engines, plain services and the platform, for tests."""
