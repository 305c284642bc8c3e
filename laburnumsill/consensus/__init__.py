"""The Raft engine, the log store and the host of Raft groups."""
