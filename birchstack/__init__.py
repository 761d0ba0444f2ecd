"""birchstack: delivers documents to many outside destinations and decides well when they fail."""
