"""The keeper: the audit collector, which polls senders for their audit trails and answers audit queries."""
