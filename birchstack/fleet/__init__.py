"""What a fleet of senders knows of itself: versions, trails of what each acted on, and questions."""
