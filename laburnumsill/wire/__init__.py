"""The peer protocol: thrift messages and connections between VMs.

`network.PeerNetwork` is the public class. Below it, `frames` encodes and
decodes messages, `outbox` queues messages and fills frames, `connection` runs
one connection and `handlers` runs the handlers of a peer's messages.
"""
