"""Settings of the consensus engine."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Timeouts and limits of the engine, equal in all replicas of a group.

    The timeouts are durations rather than deadlines, because the engine
    derives new deadlines from them each time a timer is set.

    Attributes:
        election_timeout_s: Maximum election timeout, in seconds, before the
            random spread. A follower uses it until it has received enough
            leader messages to adapt its timeout, see the module
            `election_timeout`. A leader steps down after this time without
            replies of a majority.
        heartbeat_s: Heartbeat interval of a leader, in seconds.
        max_append_bytes: Maximum entry bytes in one APPEND; a larger entry is
            sent alone.
        max_in_flight: Maximum unacknowledged APPENDs to one follower.
        snapshot_chunk_bytes: Snapshot bytes in one SNAPSHOT message.
        max_in_flight_bytes: Limit of unacknowledged entry bytes per follower.
        retained_bytes: Entry bytes retained behind a snapshot, so that a
            follower that lags slightly needs no snapshot.
        max_retained_bytes: Entry bytes retained while a snapshot is being sent.
        adaptive_election_timeout: Whether the election timeout adapts to the
            intervals between leader messages; turned off only for measurements.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.25
    max_append_bytes: int = 262144
    max_in_flight: int = 64
    snapshot_chunk_bytes: int = 262144
    max_in_flight_bytes: int = 1048576
    retained_bytes: int = 262144
    max_retained_bytes: int = 8388608
    adaptive_election_timeout: bool = True
