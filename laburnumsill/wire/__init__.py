"""The peer protocol: thrift messages and connections between VMs.

`network.PeerNetwork` is the public part. Below it, `frames` turns messages
into bytes and back, `outbox` decides what goes into the next frame,
`connection` runs one connection and `handlers` runs what a peer asks for.
"""
