"""The peer protocol: thrift messages and connections between VMs."""
