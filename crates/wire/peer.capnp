@0xd1f4b0a7c3e59a21;

# One entry VM, as its peers see it. Each body is a postcard-encoded message of
# the `wire::msg` module with the same name as the method.
interface Peer {
  # Heartbeat between entry VMs of one failure domain.
  beat @0 (body :Data) -> (body :Data);
  # Replication and lease renewal, all cells shared by a pair of VMs in one call.
  sync @1 (body :Data) -> (body :Data);
  # Slots of backend servers, asked for by a router.
  credit @2 (body :Data) -> (body :Data);
  # A non-idempotent request, sent to the home of its key.
  enter @3 (body :Data) -> (body :Data);
  # A job, sent to the primary of its cell.
  submit @4 (body :Data) -> (body :Data);
  # State of a job or task.
  lookup @5 (body :Data) -> (body :Data);
  # The newest configuration that the sender knows.
  config @6 (body :Data) -> (body :Data);
  # What a caller wants of the leader, sent by the VM that the caller reached.
  work @7 (body :Data) -> (body :Data);
  # The operator's manifest that the receiver has.
  manifest @8 (body :Data) -> (body :Data);
}
